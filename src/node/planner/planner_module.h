#ifndef CITRONFERRY_NODE_PLANNER_PLANNER_MODULE_H_
#define CITRONFERRY_NODE_PLANNER_PLANNER_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Service that plans moves of instances and maintenance waves while this entry holds the planner
/// lease.
struct PlannerModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_PLANNER_MODULE_H_
