#ifndef CITRONFERRY_FLEET_ENTRY_JOB_GATE_H_
#define CITRONFERRY_FLEET_ENTRY_JOB_GATE_H_

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "fleet/fleet_context.h"
#include "supervision/awaitables.h"
#include "supervision/task_scope.h"

namespace citronferry::fleet {

/// State of a job as the store has it, or why it can not be told.
struct JobView {
  enum class Kind { kKnown, kNoSuchJob, kStoreAway };
  Kind kind = Kind::kStoreAway;
  scheduling::JobState state = scheduling::JobState::kQueued;
};

/// Accepts, shows and cancels jobs through the store. Submissions that arrive while a transaction
/// is on its way go together in the next one.
class JobGate {
 public:
  explicit JobGate(FleetContext& context) : m_context(context) {}

  /// Makes a job durable. The same job again is accepted again, without effect.
  /// @param deadline when the client stops waiting.
  QCoro::Task<CallOutcome> Submit(PoolName pool, scheduling::JobDefinition definition,
                                  TimePoint deadline);
  QCoro::Task<JobView> Show(PoolName pool, JobId job);
  /// Makes a cancellation durable.
  QCoro::Task<CallOutcome> Cancel(PoolName pool, JobId job, TimePoint deadline);
  /// @return the pending jobs of a queue as its pool's owner last published them.
  QCoro::Task<RetVal<int64_t>> CountPending(PoolName pool, QueueName queue);

  TaskScope& tasks() { return m_tasks; }

 private:
  struct Submission {
    RowKey key;
    std::string value;
    TimePoint deadline{};
    bool uncertain = false;  ///< An attempt had no answer, so it may be accepted.
    OneShot<CallOutcome> answer;
  };
  using Submissions = std::vector<std::shared_ptr<Submission>>;
  struct Queue {
    std::deque<std::shared_ptr<Submission>> waiting;
    bool flushing = false;
  };

  QCoro::Task<void> Flush(std::string partition);
  /// Carries out one transaction, repeating it while its outcome is unknown.
  QCoro::Task<void> Write(Submissions batch);
  static void AcceptPresent(std::span<const Row> rows, Submissions& batch);
  static void ExpireLate(TimePoint now, Submissions& batch);

  FleetContext& m_context;
  std::map<std::string, Queue> m_queues;  // By partition, which a transaction can not cross.
  TaskScope m_tasks;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_JOB_GATE_H_
