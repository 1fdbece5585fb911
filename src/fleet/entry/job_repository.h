#ifndef CITRONFERRY_FLEET_ENTRY_JOB_REPOSITORY_H_
#define CITRONFERRY_FLEET_ENTRY_JOB_REPOSITORY_H_

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
struct JobLookup {
  enum class Kind { kFound, kNoSuchJob, kUnavailable };
  Kind kind = Kind::kUnavailable;
  scheduling::JobState state = scheduling::JobState::kQueued;
};

/// Accepts, shows and cancels jobs through the store. Submissions that arrive while a transaction
/// is on its way go together in the next one.
class JobRepository {
 public:
  explicit JobRepository(FleetContext& context) : m_context(context) {}

  /// Makes a job durable. The same job again is accepted again, without effect.
  /// @param deadline when the client stops waiting.
  QCoro::Task<CallOutcome> Submit(PoolName pool, scheduling::JobDefinition definition,
                                  TimePoint deadline);
  QCoro::Task<JobLookup> Show(PoolName pool, JobId job);
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
  struct SubmissionQueue {
    std::deque<std::shared_ptr<Submission>> waiting;
    bool flushing = false;
  };

  QCoro::Task<void> Flush(std::string partition);
  /// Carries out one transaction, repeating it while its outcome is unknown.
  QCoro::Task<void> Write(Submissions batch);
  static void AcceptExisting(std::span<const Row> rows, Submissions& batch);
  static void ExpireOverdue(TimePoint now, Submissions& batch);

  FleetContext& m_context;
  std::map<std::string, SubmissionQueue>
      m_submission_queues;  // By partition, which a transaction can not cross.
  TaskScope m_tasks;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_JOB_REPOSITORY_H_
