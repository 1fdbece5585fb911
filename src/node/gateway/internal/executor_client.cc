#include "node/gateway/internal/executor_client.h"

#include <algorithm>

namespace citronferry::node {
namespace {

using dispatch::AttemptOutcome;

AttemptOutcome ClassifyResponse(const http::Response& response) {
  if (http::FindHeader(response.headers, "Citronferry-Not-Run") == "true") {
    return AttemptOutcome::kNotRun;
  }
  return response.status >= 500 ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered;
}

http::ClientRequest BuildRequest(Attempt& attempt, const std::string& address,
                                 const InstanceOwnership& ownership) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = "http://" + address + "/execute/" + attempt.queue;
  request.headers.push_back({"Content-Type", attempt.content_type});
  request.headers.push_back({"Citronferry-Request-Id", attempt.request_id});
  request.headers.push_back({"Citronferry-Pool", ownership.pool.str()});
  request.headers.push_back({"Citronferry-Ownership-Version", std::to_string(ownership.version)});
  request.headers.push_back(
      {"Citronferry-Deadline-Ms", std::to_string(ToMilliseconds(attempt.timeout))});
  request.headers.push_back({"traceparent", attempt.trace.ToHeader()});
  request.body = std::move(attempt.body);
  request.timeout = attempt.timeout;
  request.idempotency = attempt.idempotency;
  request.abort = attempt.abort;
  return request;
}

}  // namespace

QCoro::Task<AttemptResult> ExecutorClient::Execute(Attempt attempt) {
  // The process may have been suspended since the dispatcher started the attempt. The HTTP client
  // counts timeouts in whole milliseconds.
  if (attempt.timeout < 1ms) {
    co_return AttemptResult{.outcome = AttemptOutcome::kNotRun, .detail = "the deadline passed"};
  }
  const FleetView& fleet = m_context.fleet.Get();
  const auto instance =
      std::find_if(fleet.instances.begin(), fleet.instances.end(),
                   [&](const provider::InstanceInfo& info) { return info.id == attempt.executor; });
  if (instance == fleet.instances.end()) {
    co_return AttemptResult{.outcome = AttemptOutcome::kNotRun, .detail = "executor has gone"};
  }
  const auto ownership = fleet.ownership.find(attempt.executor);
  http::ClientRequest request =
      BuildRequest(attempt, instance->address,
                   ownership == fleet.ownership.end() ? InstanceOwnership{} : ownership->second);
  auto response = co_await m_client.Send(std::move(request));
  if (!response.ok()) {
    const bool not_sent = response.code() == ErrorCode::kUnavailable;
    co_return AttemptResult{
        .outcome = not_sent ? AttemptOutcome::kNotRun : AttemptOutcome::kUnknown,
        .detail = std::string(response.ret().message())};
  }
  AttemptResult result{.outcome = ClassifyResponse(response.value())};
  result.response = std::move(response).value();
  co_return result;
}

}  // namespace citronferry::node
