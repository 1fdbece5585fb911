#ifndef CITRONFERRY_NODE_GATEWAY_GATEWAY_MODULE_H_
#define CITRONFERRY_NODE_GATEWAY_GATEWAY_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Serves callers: the HTTP listener, the dispatcher and the client that calls the executors.
struct GatewayModule {
  /// @return the specification of the supervised gateway service.
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_GATEWAY_MODULE_H_
