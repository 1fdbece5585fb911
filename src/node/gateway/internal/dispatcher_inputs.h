#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCHER_INPUTS_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCHER_INPUTS_H_

#include <vector>

#include "decisions/dispatch/types.h"
#include "node/node_context.h"

namespace citronferry::node {

/// Slots of each executor.
inline constexpr int kExecutorSlots = 8;

/// @return the dispatch policy that a document declares.
dispatch::Policy MakeDispatchPolicy(const document::Document& document);

/// @return the executors that this entry may use now, with its share of their slots.
std::vector<dispatch::ExecutorState> MakeExecutorStates(const NodeContext& context);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCHER_INPUTS_H_
