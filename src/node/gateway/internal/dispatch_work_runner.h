#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_WORK_RUNNER_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_WORK_RUNNER_H_

#include "node/gateway/internal/dispatch_service.h"
#include "node/gateway/internal/executor_client.h"
#include "node/gateway/work_runner.h"

namespace citronferry::node {

/// Runs work items by carrying out the actions of the dispatcher.
class DispatchWorkRunner : public WorkRunner {
 public:
  /// Sets NodeContext::work to this object for its lifetime.
  DispatchWorkRunner(NodeContext& context, DispatchService& dispatch, ExecutorClient& executors);
  ~DispatchWorkRunner() override;

  QCoro::Task<WorkResult> Run(WorkItem work, AttemptGate& gate, StopSignal& cancel) override;

 private:
  QCoro::Task<AttemptResult> RunAttempt(WorkItem work, InstanceId executor, StopSignal& cancel);

  NodeContext& m_context;
  DispatchService& m_dispatch;
  ExecutorClient& m_executors;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_WORK_RUNNER_H_
