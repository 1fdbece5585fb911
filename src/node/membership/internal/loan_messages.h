#ifndef CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_LOAN_MESSAGES_H_
#define CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_LOAN_MESSAGES_H_

#include "decisions/membership/slot_loans.h"
#include "node/node_context.h"
#include "peering/messages.h"

namespace citronferry::node {

// Conversions between the peering messages and the types of the slot loan decisions.

peering::SlotRequest ToMessage(const membership::LoanRequest& request);
peering::SlotGrant ToMessage(const membership::LoanGrant& grant);
peering::SlotReturn ToMessage(const membership::LoanReturn& returned);
membership::LoanRequest FromMessage(const peering::SlotRequest& message);
membership::LoanGrant FromMessage(const peering::SlotGrant& message);
membership::LoanReturn FromMessage(const peering::SlotReturn& message);

/// @return the load of this entry; empty while the gateway does not run or no configuration is
/// active.
membership::LoadObserved ObserveLoad(const NodeContext& context);

/// @return the number of slots that can be lent: the free slots of pools without waiting requests.
int CountLendableSlots(const membership::LoadObserved& load);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_LOAN_MESSAGES_H_
