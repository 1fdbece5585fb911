#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_

#include <span>

#include "base/ids.h"

namespace citronferry::membership {

/// Slots of an executor that this entry owns. The slots go round the entries in the order of their
/// rendezvous hash for the executor, so the shares of all entries add up to the executor's slots.
/// @param roster entries that share the executor, self included; the order does not matter.
/// @param slots slots of the executor.
/// @return the number of slots of self; 0 when self is not in the roster.
int SlotShare(const EntryId& self, std::span<const EntryId> roster, const InstanceId& executor,
              int slots);

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_
