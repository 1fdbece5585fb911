#ifndef CITRONFERRY_DECISIONS_SCHEDULING_RELAY_ASSIGNMENT_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_RELAY_ASSIGNMENT_H_

#include <map>
#include <span>

#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// What limits the calls that an entry can make.
struct EntryCapacity {
  double cores = 0;
  double link_mbps = 0;  ///< Rate of its link, in Mbit/s.
};

/// @return the number of executors that an entry can serve when all of them are busy.
int ExecutorsPerEntry(const EntryCapacity& capacity);

/// An entry that may make calls for the owner of a pool.
struct RelayCandidate {
  EntryId entry;
  EntryCapacity capacity;
};

/// Distributes the executors of a pool over the entries that make the calls to them.
///
/// Load pattern: each start carries the payload of its job, so a surge on a hundred executors needs
/// many times the link and the processor time of one small entry. The owner then sends a payload
/// once to each relay, and the relays send it with each start. An owner that can serve its pool
/// alone uses no relay.
/// @param pools all pools; they prefer different entries, since a surge of one pool may follow that
///   of another closely.
/// @param candidates without the owner itself.
/// @return the relays by executor; executors that are not listed are called directly.
std::map<ExecutorId, EntryId> AssignRelays(const PoolName& pool, std::span<const PoolName> pools,
                                           const EntryCapacity& owner,
                                           std::span<const RelayCandidate> candidates,
                                           std::span<const ExecutorId> executors);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_RELAY_ASSIGNMENT_H_
