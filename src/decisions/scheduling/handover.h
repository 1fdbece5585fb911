#ifndef CITRONFERRY_DECISIONS_SCHEDULING_HANDOVER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_HANDOVER_H_

#include <optional>
#include <span>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/relay_assignment.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// A run that may exist on an executor when its owner releases the pool.
struct HandedOverRun {
  TaskId task;
  int64_t run = 0;
  bool confirmed = false;         ///< The executor has confirmed or listed it.
  bool listed = false;            ///< The executor's known incarnation has listed it.
  bool copy_outstanding = false;  ///< A copy of the start may still arrive.

  friend bool operator==(const HandedOverRun&, const HandedOverRun&) = default;
};

/// What the releasing owner knows of an executor on which runs may exist.
struct HandedOverExecutor {
  ExecutorId executor;
  int64_t incarnation_unix_ms = 0;
  /// Until no run is left on it, unless its lease is extended, at the time of the release.
  Duration lease_left{};
  /// The releasing owner did not know what an earlier owner had started there.
  bool unresolved = false;
  std::vector<HandedOverRun> runs;

  friend bool operator==(const HandedOverExecutor&, const HandedOverExecutor&) = default;
};

/// Everything that may run in a pool when its owner releases it. The owner has sent no order since.
///
/// Load pattern: entries are restarted in turn, a second apart, while executors are replaced.
/// Without this record each successor waits until every executor that its predecessor ever called
/// has reported, or until the leases of those that have gone have expired.
struct PoolHandover {
  std::vector<HandedOverExecutor> executors;  ///< Those that are not named run nothing.
};

/// An entry that may become the next owner of a pool.
struct SuccessorCandidate {
  EntryId entry;
  EntryCapacity capacity;
  int owned_pools = 0;
  int64_t announced_version = 0;  ///< Store version at which it announced itself, at its start.
};

/// An entry below this should own a pool only if no larger one does: as the owner of 85 executors
/// it would run out of CPU, and leases would expire.
inline constexpr double kMinOwnerCores = 0.25;

/// Chooses the entry that takes over a pool whose owner stops: one that is large enough, owns the
/// fewest pools and has started last, since in a rolling restart its turn is the furthest away.
/// @param candidates without the releasing entry.
/// @return nothing if no candidate is large enough.
std::optional<EntryId> ChooseSuccessor(std::span<const SuccessorCandidate> candidates);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_HANDOVER_H_
