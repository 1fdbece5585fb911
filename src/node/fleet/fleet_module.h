#ifndef CITRONFERRY_NODE_FLEET_FLEET_MODULE_H_
#define CITRONFERRY_NODE_FLEET_FLEET_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Service that updates NodeContext::fleet, the instances and the pools that own them.
struct FleetModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_FLEET_FLEET_MODULE_H_
