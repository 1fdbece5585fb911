#ifndef CITRONFERRY_NODE_JOBS_INTERNAL_JOBS_SERVICE_H_
#define CITRONFERRY_NODE_JOBS_INTERNAL_JOBS_SERVICE_H_

#include "decisions/jobs/job_claimer.h"
#include "node/jobs/job_store.h"
#include "supervision/supervisor.h"
#include "supervision/task_scope.h"

namespace citronferry::node {

/// Polls the change feed of the job rows and carries out the actions that m_claimer decides on:
/// runs jobs, or ends them without a run.
class JobsService : public Service {
 public:
  JobsService(NodeContext& context, provider::TableService& tables, provider::ObjectStore& objects);

  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<void> Poll();
  void Handle(jobs::Event event);
  /// Claims and runs a job, if the gateway is running.
  QCoro::Task<void> RunJob(jobs::JobRow row);
  /// Ends a job with this answer, without running it.
  QCoro::Task<void> RecordAnswer(jobs::JobRow row, requests::Answer answer);
  void UpdateQueues();
  void UpdateRoster();

  NodeContext& m_context;
  JobStore m_store;
  jobs::JobClaimer m_claimer;
  uint64_t m_sequence = 0;  // Position in the change feed.
  StopSignal m_stop;
  TaskScope m_tasks;
  std::vector<Subscription> m_subscriptions;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_JOBS_INTERNAL_JOBS_SERVICE_H_
