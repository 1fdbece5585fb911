#ifndef CITRONFERRY_NODE_ADMIN_ADMIN_MODULE_H_
#define CITRONFERRY_NODE_ADMIN_ADMIN_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// HTTP service for operators and the load balancer: health, readiness, metrics, status and drain.
struct AdminModule {
  /// @return the specification of the supervised admin service.
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_ADMIN_ADMIN_MODULE_H_
