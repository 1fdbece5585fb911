#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_SET_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_SET_H_

#include <map>
#include <optional>
#include <span>
#include <utility>

#include "decisions/dispatch/internal/executor_health.h"
#include "decisions/dispatch/types.h"

namespace citronferry::dispatch {

struct PoolState;

/// State of an executor. Kept while attempts run on it, even after it has left the list.
struct Executor {
  /// Sort key for the choice: load plus penalty for failures, then the least recently used.
  using Rank = std::pair<int, uint64_t>;

  /// Share of the executor in the counters and indexes of its ExecutorSet.
  struct Contribution {
    int limit = 0;              ///< Slots that may be used now.
    int non_urgent_in_use = 0;  ///< Slots within the limit that non-urgent requests use.
    bool present = false;
    bool failing = false;
    bool is_probe = false;
    std::optional<Rank> rank;  ///< Set when the executor has a free slot.
    bool ejected = false;
    std::optional<TimePoint> paused_until;  ///< End of the pause or of the penalty.
  };

  InstanceId id;
  PoolState* pool = nullptr;  ///< Null once it has left the list.
  int slots = 0;
  bool leaving = false;
  int in_use = 0;
  int non_urgent_in_use = 0;  ///< Slots in use by non-urgent requests.
  uint64_t last_used = 0;     ///< Number of the latest use within the set.
  uint64_t list_number = 0;   ///< Number of the latest list that contains it.
  ExecutorHealth health;
  Contribution contribution;
};

/// Constraints of a request on the choice of an executor.
struct ExecutorDemand {
  /// Distinct usable executors of the set to choose only if there are no others.
  std::span<const Executor* const> avoid;
  bool urgent = false;
  bool may_probe = false;  ///< The request can be retried, so it may go to an ejected executor.
};

/// The executors of one pool, ordered by rank. Updates take logarithmic time in their number.
class ExecutorSet {
 public:
  /// @param reserve fraction of the slots, from 0 to 1, that only urgent requests may use.
  void SetReserve(double reserve) { m_reserve = reserve; }
  void Add(Executor& executor, TimePoint now);
  void Remove(Executor& executor);
  /// Updates the contribution of an executor when its slots, load or health or the time changed.
  void Refresh(Executor& executor, TimePoint now);
  /// Occupies a slot for an attempt.
  void Occupy(Executor& executor, bool urgent, TimePoint now);
  /// Records the outcome of an attempt and ejects or reinstates executors accordingly.
  void RecordOutcome(Executor& executor, bool success, TimePoint now);
  /// Allows probes of ejected executors whose pause is over, and ends due penalties.
  void ProcessDuePauses(TimePoint now);

  /// @param urgent whether slots reserved for urgent requests count.
  /// @return whether a slot is free.
  bool HasFree(bool urgent) const;
  /// @return the executor to use, or null if the request has to wait for one.
  Executor* Choose(const ExecutorDemand& demand, TimePoint now) const;

  /// @return the number of usable slots of all executors.
  int capacity() const { return m_capacity; }

 private:
  using Ranked = std::map<Executor::Rank, Executor*>;

  /// @return the number of slots that non-urgent requests may use.
  int SharedCapacity() const;
  void RemoveContribution(Executor& executor);
  /// Reinstates all ejected executors.
  void ReinstateAll(TimePoint now);

  double m_reserve = 0;
  Ranked m_free;    ///< Executors with a free slot.
  Ranked m_probes;  ///< Ejected executors that wait for a probe.
  std::map<InstanceId, Executor*> m_ejected;
  std::map<std::pair<TimePoint, InstanceId>, Executor*> m_pauses;  ///< By end of pause or penalty.
  int m_capacity = 0;
  int m_usable_executors = 0;
  int m_present_executors = 0;
  int m_failing_executors = 0;
  int m_non_urgent_in_use = 0;
  uint64_t m_use_count = 0;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_SET_H_
