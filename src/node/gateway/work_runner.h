#ifndef CITRONFERRY_NODE_GATEWAY_WORK_RUNNER_H_
#define CITRONFERRY_NODE_GATEWAY_WORK_RUNNER_H_

#include <qcoro/qcorotask.h>

#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "http/client.h"
#include "telemetry/trace.h"

namespace citronferry::node {

/// A request or job to run on an executor.
struct WorkItem {
  QueueName queue;
  TeamName team;
  std::string request_id;
  std::string content_type;
  QByteArray body;
  TimePoint deadline;
  http::Idempotency idempotency = http::Idempotency::kNonIdempotent;
  TraceContext trace;
};

/// How a work item has ended, over all its attempts.
enum class WorkOutcome {
  kAnswered,
  kNotRun,     ///< Certainly not run: refused, expired, or no backend server accepted it.
  kUnknown,    ///< May or may not have run.
  kFailed,     ///< Cannot succeed; the reason says why.
  kCancelled,  ///< Certainly not run: cancelled.
  kWithdrawn,  ///< Certainly not run: refused by the attempt gate.
};

struct WorkResult {
  WorkOutcome outcome = WorkOutcome::kNotRun;
  http::Response response;  ///< Meaningful for kAnswered.
  std::string reason;
  Duration retry_after{};  ///< Time until a retry is likely to succeed; zero if unknown.
};

/// Decides whether an attempt may be sent, after the dispatcher has assigned it a slot.
class AttemptGate {
 public:
  virtual ~AttemptGate() = default;
  /// @return true to send the attempt at once, false to withdraw the work item.
  virtual QCoro::Task<bool> Admit() = 0;
};

/// Runs work items on executors through the dispatcher of this entry.
class WorkRunner {
 public:
  virtual ~WorkRunner() = default;
  /// Runs a work item to its end, retries included.
  /// @param gate is asked before each attempt; must outlive the task.
  /// @param cancel ends the work item while it waits and aborts idempotent attempts; a
  ///   non-idempotent attempt is not interrupted once it has been sent. Must outlive the task.
  virtual QCoro::Task<WorkResult> Run(WorkItem work, AttemptGate& gate, StopSignal& cancel) = 0;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_WORK_RUNNER_H_
