#ifndef CITRONFERRY_NODE_GATEWAY_WORK_RUNNER_H_
#define CITRONFERRY_NODE_GATEWAY_WORK_RUNNER_H_

#include <qcoro/qcorotask.h>

#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "http/client.h"
#include "telemetry/trace.h"

namespace citronferry::node {

/// Work for an executor.
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

enum class WorkOutcome {
  kAnswered,
  kNotRun,     ///< Certainly not run: refused, expired, or no backend server took it.
  kUnknown,    ///< May or may not have run.
  kFailed,     ///< Can not succeed.
  kCancelled,  ///< Certainly not run: cancelled while it waited.
  kWithdrawn,  ///< Certainly not run: the gate was closed.
};

struct WorkResult {
  WorkOutcome outcome = WorkOutcome::kNotRun;
  http::Response response;  ///< Meaningful for kAnswered.
  std::string reason;
  Duration retry_after{};  ///< When a new try is likely to succeed; zero if unknown.
};

/// Decides, while a slot is held, whether an attempt may be sent.
class AttemptGate {
 public:
  virtual ~AttemptGate() = default;
  /// @return true to send at once, false to withdraw the work.
  virtual QCoro::Task<bool> Admit() = 0;
};

/// Runs work on executors through the dispatcher of this entry.
class WorkRunner {
 public:
  virtual ~WorkRunner() = default;
  /// @param gate is asked before each attempt and outlives the task.
  /// @param cancel ends the work while it waits and aborts idempotent attempts; work that may not
  /// be
  ///   repeated is not interrupted once it has been sent. Outlives the task.
  virtual QCoro::Task<WorkResult> Run(WorkItem work, AttemptGate& gate, StopSignal& cancel) = 0;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_WORK_RUNNER_H_
