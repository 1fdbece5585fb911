#ifndef CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_LOAN_MESSAGES_H_
#define CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_LOAN_MESSAGES_H_

#include "decisions/membership/slot_loans.h"
#include "node/node_context.h"
#include "peering/messages.h"

namespace citronferry::node {

// Conversions between the messages on the wire and the events and actions of the decision.

peering::SlotRequest ToMessage(const membership::LoanRequest& request);
peering::SlotGrant ToMessage(const membership::LoanGrant& grant);
peering::SlotReturn ToMessage(const membership::LoanReturn& returned);
membership::LoanRequest ToLoan(const peering::SlotRequest& message);
membership::LoanGrant ToLoan(const peering::SlotGrant& message);
membership::LoanReturn ToLoan(const peering::SlotReturn& message);

/// @return the load of this entry as the decision needs it; empty while there is no gateway.
membership::LoadObserved ObserveLoad(const NodeContext& context);

/// @return slots that could be lent: those of pools in which nothing waits.
int CountLendableSlots(const membership::LoadObserved& load);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_LOAN_MESSAGES_H_
