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

/// State of a job in the store, or why it could not be read.
struct JobLookup {
  enum class Kind {
    kFound,
    kNoSuchJob,
    kUnknown  ///< The store did not answer, or a row cannot be decoded.
  };
  Kind kind = Kind::kUnknown;
  scheduling::JobState state = scheduling::JobState::kQueued;
  TeamName team;  ///< Team that submitted the job; empty if none did.
  PoolName pool;  ///< Pool that has accepted the job.
};

/// @return whether a caller of one team may see and cancel a job of another. Jobs and callers of
///   public queues have no team.
inline bool MayAccess(const TeamName& caller, const TeamName& owner) {
  return caller.empty() || owner.empty() || caller == owner;
}

/// @param pool that serves the queue of the call.
/// @return whether a caller may see and cancel a job. One that another pool has accepted is shown
///   to its own team only, since its queue may not be the one of the call.
inline bool MayAccess(const TeamName& caller, const PoolName& pool, const JobLookup& job) {
  return job.pool == pool ? MayAccess(caller, job.team) : caller == job.team;
}

/// Creates, reads and cancels jobs in the store. Submissions that arrive while a transaction is in
/// progress are batched in the next one.
class JobRepository {
 public:
  explicit JobRepository(FleetContext& context) : m_context(context) {}

  /// Makes a job durable. Submitting a job again is accepted and has no effect, also if its queue
  /// is served by another pool by then.
  /// @param pool that serves the queue of the job.
  /// @param deadline when the client stops waiting.
  QCoro::Task<CallOutcome> Submit(PoolName pool, scheduling::JobDefinition definition,
                                  TimePoint deadline);
  /// Reads the state of a job.
  /// @param pool that serves the queue of the job; another one may have accepted it.
  QCoro::Task<JobLookup> Show(PoolName pool, JobId job);
  /// Makes the cancellation of a job durable.
  /// @param pool as for Show.
  /// @param team of the caller; empty if any caller may cancel the job.
  /// @param deadline when the client stops waiting.
  /// @return kOtherTeam if the job belongs to another team.
  QCoro::Task<CallOutcome> Cancel(PoolName pool, JobId job, TeamName team, TimePoint deadline);
  /// @return the number of pending jobs of a queue that its pool's owner published last.
  QCoro::Task<RetVal<int64_t>> CountPending(PoolName pool, QueueName queue);

  /// @return the scope of the tasks that write submissions.
  TaskScope& tasks() { return m_tasks; }

 private:
  struct Submission {
    RowKey pool_key;  ///< Of the row with the pool of the job; it must not exist.
    PoolName pool;
    RowKey key;  ///< Of the definition.
    std::string value;
    TimePoint deadline{};    ///< When the client has to be answered.
    bool uncertain = false;  ///< An attempt got no response, so the job may be stored.
    OneShot<CallOutcome> outcome;
  };
  using Submissions = std::vector<std::shared_ptr<Submission>>;
  struct SubmissionQueue {
    std::deque<std::shared_ptr<Submission>> waiting;
    bool flushing = false;  ///< A task writes the waiting submissions.
  };

  /// Reads the state of a job from the rows of one pool.
  QCoro::Task<JobLookup> ShowInPool(PoolName pool, JobId job);
  /// Writes the waiting submissions of a partition, batch by batch.
  QCoro::Task<void> Flush(std::string partition);
  /// Writes a batch in one transaction, which is repeated until its outcome is known or all
  /// submissions of the batch have an outcome.
  QCoro::Task<void> Write(Submissions batch);
  /// Accepts the submissions whose jobs are in the store already, and removes them from the batch.
  static void AcceptExisting(std::span<const Row> rows, Submissions& batch);
  /// @return an upper bound of the bytes that a submission takes in a transaction.
  static size_t BytesOf(const Submission& submission);
  /// @return the outcome of a submission whose last attempt stored nothing.
  static CallOutcome OutcomeOfFailure(const Submission& submission);
  /// Sets the outcome of submissions that are past their deadlines, and removes them from the
  /// batch.
  static void ExpireOverdue(TimePoint now, Submissions& batch);

  FleetContext& m_context;
  // By partition, since a transaction cannot span partitions.
  std::map<std::string, SubmissionQueue> m_submission_queues;
  TaskScope m_tasks;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_JOB_REPOSITORY_H_
