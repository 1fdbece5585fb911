#ifndef CITRONFERRY_NODE_MEMBERSHIP_MEMBERSHIP_MODULE_H_
#define CITRONFERRY_NODE_MEMBERSHIP_MEMBERSHIP_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Supervises the services that register this entry in the roster, track the other entries and
/// exchange messages with them.
struct MembershipModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_MEMBERSHIP_MODULE_H_
