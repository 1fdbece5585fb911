#ifndef CITRONFERRY_NODE_JOBS_INTERNAL_JOBS_SERVICE_H_
#define CITRONFERRY_NODE_JOBS_INTERNAL_JOBS_SERVICE_H_

#include "decisions/jobs/job_claimer.h"
#include "node/jobs/job_store.h"
#include "supervision/supervisor.h"
#include "supervision/task_scope.h"

namespace citronferry::node {

/// Follows the change feed of the jobs and runs those that the board decides to try.
class JobsService : public Service {
 public:
  JobsService(NodeContext& context, provider::TableService& tables, provider::ObjectStore& objects);

  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<void> Poll();
  void Handle(jobs::Event event);
  QCoro::Task<void> Try(jobs::JobRow row);
  QCoro::Task<void> End(jobs::JobRow row, requests::Answer answer);
  void UpdateQueues();
  void UpdateRoster();

  NodeContext& m_context;
  JobStore m_store;
  jobs::JobClaimer m_board;
  uint64_t m_sequence = 0;
  StopSignal m_stop;
  TaskScope m_tasks;
  std::vector<Subscription> m_subscriptions;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_JOBS_INTERNAL_JOBS_SERVICE_H_
