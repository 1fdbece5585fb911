#ifndef CITRONFERRY_NODE_JOBS_INTERNAL_JOB_RUNNER_H_
#define CITRONFERRY_NODE_JOBS_INTERNAL_JOB_RUNNER_H_

#include "decisions/jobs/job_claimer.h"
#include "node/gateway/work_runner.h"
#include "node/jobs/job_store.h"
#include "supervision/task_scope.h"

namespace citronferry::node {

/// One attempt of this entry to run a job: waits for a slot, claims the job, renews the lease while
/// the job runs, and records the answer.
class JobRunner : private AttemptGate {
 public:
  JobRunner(NodeContext& context, JobStore& store, jobs::JobRow row, StopSignal& stop)
      : m_context(context), m_store(store), m_row(std::move(row)), m_stop(stop) {}

  QCoro::Task<void> Run();

 private:
  /// Claims the job before its first attempt.
  /// @return true while the lease leaves enough time to start the job.
  QCoro::Task<bool> Admit() override;
  QCoro::Task<void> RunWork(WorkItem work);
  QCoro::Task<void> RenewLease();
  /// Reads the row after a conflict and finds out whether it still shows the claim of this object.
  QCoro::Task<void> ResolveConflict();
  /// Writes the answer, or releases the claim when the job may be run again.
  QCoro::Task<void> RecordResult(WorkResult result);
  /// Replaces the row, with retries until the claim is lost or the service stops.
  QCoro::Task<void> WriteWithRetries(jobs::Job job);
  bool MayStart() const;

  NodeContext& m_context;
  JobStore& m_store;
  jobs::JobRow m_row;
  StopSignal& m_stop;
  StopSignal m_cancel;
  bool m_may_be_claimed = false;  // The claim was written, or may have been.
  bool m_lease_held = false;      // The claim is known to be written.
  int m_claimed_attempts = 0;     // Attempts in the row of the claim; tells it from other claims.
  bool m_claim_lost = false;      // Another writer has changed the row.
  bool m_idempotent = false;
  int m_max_attempts = 1;
  TimePoint m_last_renewal{};  // Start of the last write that extended the lease.
  TaskScope m_work;
  Mailbox<WorkResult> m_result;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_JOBS_INTERNAL_JOB_RUNNER_H_
