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

/// An executor, kept while attempts run on it even after it has left the list.
struct Executor {
  /// Order of choice: load and failures first, then the one that has rested longest.
  using Rank = std::pair<int, uint64_t>;

  /// What ExecutorSet has counted for an executor.
  struct Contribution {
    int limit = 0;              ///< Slots that may be used now.
    int non_urgent_in_use = 0;  ///< Slots within the limit that are not used by urgent work.
    bool present = false;
    bool failing = false;
    bool is_probe = false;
    std::optional<Rank> rank;  ///< Position among the executors with a free slot.
    bool ejected = false;
    std::optional<TimePoint> paused_until;
  };

  InstanceId id;
  PoolState* pool = nullptr;  ///< Null once it has left the list.
  int slots = 0;
  bool leaving = false;
  int in_use = 0;
  int non_urgent_in_use = 0;  ///< Part of in_use that is not urgent work.
  uint64_t last_used = 0;
  uint64_t list_number = 0;  ///< Number of the latest list that contains it.
  ExecutorHealth health;
  Contribution contribution;
};

/// Which executors a request may use.
struct ExecutorDemand {
  std::span<const Executor* const> avoid;  ///< Distinct usable executors of the set.
  bool urgent = false;
  bool may_probe = false;  ///< A failed attempt can be repeated.
};

/// The executors of one pool. Choosing one costs the logarithm of their number.
class ExecutorSet {
 public:
  /// @param reserve share of the slots that only urgent work may use.
  void SetReserve(double reserve) { m_reserve = reserve; }
  void Add(Executor& executor, TimePoint now);
  void Remove(Executor& executor);
  /// Recomputes what an executor offers after its slots, load, health or the time have changed.
  void Refresh(Executor& executor, TimePoint now);
  /// Takes a slot for an attempt.
  void Occupy(Executor& executor, bool urgent, TimePoint now);
  /// Records how an attempt ended and ejects or reinstates executors accordingly.
  void RecordOutcome(Executor& executor, bool success, TimePoint now);
  /// Offers ejected executors whose pause is over for a probe, and ends due penalties.
  void ProcessDuePauses(TimePoint now);

  /// @return true when a slot is free for urgent work or for any work.
  bool HasFree(bool urgent) const;
  /// @return the executor to use, or null to wait for one.
  Executor* Choose(const ExecutorDemand& demand, TimePoint now) const;

  /// @return usable slots in sum over the executors.
  int capacity() const { return m_capacity; }

 private:
  using Ranked = std::map<Executor::Rank, Executor*>;

  int SharedCapacity() const;
  void RemoveContribution(Executor& executor);
  void ReinstateAll(TimePoint now);

  double m_reserve = 0;
  Ranked m_free;    ///< Executors with a free slot.
  Ranked m_probes;  ///< Ejected executors that wait for a probe.
  std::map<InstanceId, Executor*> m_ejected;
  std::map<std::pair<TimePoint, InstanceId>, Executor*> m_pauses;  ///< By end of pause.
  int m_capacity = 0;
  int m_usable_executors = 0;
  int m_present_executors = 0;
  int m_failing_executors = 0;
  int m_non_urgent_in_use = 0;
  uint64_t m_use_count = 0;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_SET_H_
