#ifndef CITRONFERRY_NODE_MEMBERSHIP_MEMBERSHIP_MODULE_H_
#define CITRONFERRY_NODE_MEMBERSHIP_MEMBERSHIP_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Registers this entry in the roster and follows the roster.
struct MembershipModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_MEMBERSHIP_MODULE_H_
