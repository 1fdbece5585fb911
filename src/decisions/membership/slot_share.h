#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_

#include <span>
#include <vector>

#include "base/ids.h"

namespace citronferry::membership {

/// Most peers that an entry exchanges heartbeats with; bounds the traffic of control.
inline constexpr size_t kMaxHeartbeatPeers = 16;

/// Slots of an executor that this entry owns. The slots go round the entries in the order of their
/// rendezvous hash for the executor, so the shares of all entries add up to the executor's slots.
/// @param roster entries that share the executor, self included; the order does not matter.
/// @param slots slots of the executor.
/// @return the number of slots of self; 0 when self is not in the roster.
int SlotShare(const EntryId& self, std::span<const EntryId> roster, const InstanceId& executor,
              int slots);

/// @return the smallest share of self in any of the rosters; 0 without a roster.
int SmallestSlotShare(const EntryId& self, std::span<const std::vector<EntryId>> rosters,
                      const InstanceId& executor, int slots);

/// @return the peers that self sends heartbeats to: all, or a fixed choice of kMaxHeartbeatPeers.
std::vector<EntryId> ChooseHeartbeatPeers(const EntryId& self, std::span<const EntryId> roster);

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_
