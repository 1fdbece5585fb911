#ifndef CITRONFERRY_NODE_JOBS_INTERNAL_JOB_RUNNER_H_
#define CITRONFERRY_NODE_JOBS_INTERNAL_JOB_RUNNER_H_

#include "decisions/jobs/job_claimer.h"
#include "node/gateway/work_runner.h"
#include "node/jobs/job_store.h"
#include "supervision/task_scope.h"

namespace citronferry::node {

/// One try of this entry to run a job: waits for a slot, claims the job, keeps its lease, and
/// records the answer.
class JobRunner : private AttemptGate {
 public:
  JobRunner(NodeContext& context, JobStore& store, jobs::JobRow row, StopSignal& stop)
      : m_context(context), m_store(store), m_row(std::move(row)), m_stop(stop) {}

  QCoro::Task<void> Run();

 private:
  QCoro::Task<bool> Open() override;
  QCoro::Task<void> RunWork(Work work);
  QCoro::Task<void> Renew();
  QCoro::Task<void> AdoptOwnRow();
  QCoro::Task<void> Conclude(WorkResult result);
  QCoro::Task<void> Write(jobs::Job job);
  bool MayStart() const;

  NodeContext& m_context;
  JobStore& m_store;
  jobs::JobRow m_row;
  StopSignal& m_stop;
  StopSignal m_cancel;
  bool m_claimed = false;  // A claim was written, or its answer is not known.
  bool m_held = false;
  int m_claimed_attempts = 0;
  bool m_lost = false;  // Another entry has changed the row.
  bool m_idempotent = false;
  int m_max_attempts = 1;
  TimePoint m_renewed{};  // When the write that last extended the lease was started.
  TaskScope m_work;
  Mailbox<WorkResult> m_result;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_JOBS_INTERNAL_JOB_RUNNER_H_
