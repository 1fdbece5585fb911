#ifndef CITRONFERRY_NODE_GATEWAY_GATEWAY_MODULE_H_
#define CITRONFERRY_NODE_GATEWAY_GATEWAY_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Serves callers: listener, dispatcher and the links to the executors.
struct GatewayModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_GATEWAY_MODULE_H_
