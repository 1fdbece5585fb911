#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCHER_INPUTS_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCHER_INPUTS_H_

#include <vector>

#include "decisions/dispatch/types.h"
#include "node/node_context.h"

namespace citronferry::node {

/// Slots of each executor, shared by all entries.
inline constexpr int kExecutorSlots = 8;

/// @return the dispatch policy that a document declares.
dispatch::Policy MakeDispatchPolicy(const document::Document& document);

/// @return the executors that this entry may use now, with the slots that it may use on each.
std::vector<dispatch::ExecutorState> MakeExecutorStates(const NodeContext& context);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCHER_INPUTS_H_
