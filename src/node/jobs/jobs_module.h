#ifndef CITRONFERRY_NODE_JOBS_JOBS_MODULE_H_
#define CITRONFERRY_NODE_JOBS_JOBS_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Runs durable jobs through the gateway of this entry.
struct JobsModule {
  /// @return the specification of the supervised jobs service.
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_JOBS_JOBS_MODULE_H_
