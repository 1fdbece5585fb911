#ifndef CITRONFERRY_NODE_ADMIN_ADMIN_MODULE_H_
#define CITRONFERRY_NODE_ADMIN_ADMIN_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Serves operators: health, readiness, metrics and status.
struct AdminModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_ADMIN_ADMIN_MODULE_H_
