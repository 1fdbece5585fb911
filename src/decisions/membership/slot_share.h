#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_

#include <span>
#include <vector>

#include "base/ids.h"

namespace citronferry::membership {

/// Maximum number of peers that an entry sends heartbeats to; bounds the control traffic.
inline constexpr size_t kMaxHeartbeatPeers = 16;

/// Share of an entry in the slots of an executor. The slots are dealt out to the entries in turn,
/// in the order of their rendezvous hash for the executor, so that the shares of all entries add up
/// to the slots of the executor.
/// @param self the entry whose share is asked for.
/// @param roster entries that share the executor, self included, in any order.
/// @param executor whose slots are shared.
/// @param slots number of slots of the executor.
/// @return the number of slots of self; 0 when self is not in the roster.
int SlotShare(const EntryId& self, std::span<const EntryId> roster, const InstanceId& executor,
              int slots);

/// @param rosters rosters that other entries may still use, see RosterHistory.
/// @return the smallest share of self by any of the rosters; 0 without a roster.
int SmallestSlotShare(const EntryId& self, std::span<const std::vector<EntryId>> rosters,
                      const InstanceId& executor, int slots);

/// @param self this entry, which is left out.
/// @param roster all entries.
/// @return the peers that self sends heartbeats to: all, or kMaxHeartbeatPeers of them, chosen by
///   rendezvous hash so that the choice is stable.
std::vector<EntryId> ChooseHeartbeatPeers(const EntryId& self, std::span<const EntryId> roster);

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_SHARE_H_
