#ifndef CITRONFERRY_NODE_FLEET_FLEET_MODULE_H_
#define CITRONFERRY_NODE_FLEET_FLEET_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Keeps the view of the instances and their ownership up to date.
struct FleetModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_FLEET_FLEET_MODULE_H_
