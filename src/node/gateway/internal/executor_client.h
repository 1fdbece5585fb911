#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_EXECUTOR_CLIENT_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_EXECUTOR_CLIENT_H_

#include "decisions/dispatch/types.h"
#include "http/client.h"
#include "node/node_context.h"
#include "telemetry/trace.h"

namespace citronferry::node {

/// One attempt to run a request or job on an executor.
struct Attempt {
  InstanceId executor;
  std::string queue;
  std::string request_id;
  std::string content_type;
  QByteArray body;
  Duration timeout{};
  http::Idempotency idempotency = http::Idempotency::kNonIdempotent;
  TraceContext trace;
  StopSignal* abort = nullptr;  ///< Optional; ends the attempt early when it is raised.
};

/// The outcome of an attempt and the response of the executor, if any.
struct AttemptResult {
  dispatch::AttemptOutcome outcome = dispatch::AttemptOutcome::kUnknown;
  http::Response response;  ///< Meaningful for kAnswered and kFailed.
  std::string detail;       ///< Why there is no response; empty otherwise.
};

/// Sends attempts to executors over HTTP.
class ExecutorClient {
 public:
  explicit ExecutorClient(NodeContext& context) : m_context(context) {}

  /// Sends an attempt to the address of its executor. An executor that is no longer listed, or a
  /// timeout of less than 1 ms, gives kNotRun.
  QCoro::Task<AttemptResult> Execute(Attempt attempt);

 private:
  NodeContext& m_context;
  http::Client m_client;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_EXECUTOR_CLIENT_H_
