#include "node/gateway/internal/request_handler.h"

#include <algorithm>
#include <charconv>

#include "node/gateway/internal/team_directory.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr char kOutcomeHeader[] = "Citronferry-Outcome";
constexpr char kRequestIdHeader[] = "Citronferry-Request-Id";
constexpr size_t kMaxKeyLength = 128;

http::Response NotRun(int status, std::string_view code, std::string_view message,
                      Duration retry_after = {}) {
  http::Response response = http::MakeErrorResponse(status, code, message);
  response.headers.push_back({kOutcomeHeader, "not-run"});
  if (retry_after > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return response;
}

http::Response Answered(http::Response backend) {
  http::Response response{.status = backend.status, .body = std::move(backend.body)};
  const std::string_view type = http::FindHeader(backend.headers, "Content-Type");
  if (!type.empty()) response.headers.push_back({"Content-Type", std::string(type)});
  response.headers.push_back({kOutcomeHeader, "answered"});
  return response;
}

http::Response WithOutcome(http::Response response, std::string_view outcome) {
  response.headers.push_back({kOutcomeHeader, std::string(outcome)});
  return response;
}

/// @return the queue name of a path "/v1/queues/{queue}/requests", or an empty view.
std::string_view QueueOfPath(std::string_view path) {
  constexpr std::string_view kPrefix = "/v1/queues/";
  constexpr std::string_view kSuffix = "/requests";
  if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix)) return {};
  if (path.size() <= kPrefix.size() + kSuffix.size()) return {};
  return path.substr(kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size());
}

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

bool IsValidKey(std::string_view key) {
  return key.size() <= kMaxKeyLength && std::all_of(key.begin(), key.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace

QCoro::Task<http::Response> RequestHandler::Handle(http::Request request) {
  Span span("entry.request", TraceContext::Parse(http::FindHeader(request.headers, "traceparent")));
  Accepted accepted;
  if (auto refusal = Check(request, accepted)) {
    span.SetTag("outcome", "refused");
    co_return *refusal;
  }
  accepted.request = std::move(request);
  const std::string request_id = accepted.request_id;
  span.SetTag("request", request_id);
  http::Response response = co_await Run(std::move(accepted), span);
  response.headers.push_back({kRequestIdHeader, request_id});
  const std::string outcome(http::FindHeader(response.headers, kOutcomeHeader));
  span.SetTag("outcome", outcome);
  m_context.metrics
      .Counter("citronferry_requests_total", "Requests answered, by outcome.",
               {{"outcome", outcome}})
      .Increment();
  co_return response;
}

std::optional<http::Response> RequestHandler::Check(const http::Request& request,
                                                    Accepted& accepted) const {
  const auto& document = m_context.configuration.Get().document;
  if (!document || m_context.lifecycle.Get() == Lifecycle::kDraining) {
    return NotRun(503, "not_ready", "this entry accepts no requests now", 1s);
  }
  const auto team = AuthenticateTeam(*document, http::FindHeader(request.headers, "Authorization"));
  if (!team) return NotRun(401, "unauthenticated", "a known bearer token is required");
  const std::string_view queue_name = QueueOfPath(request.path);
  if (queue_name.empty()) return NotRun(404, "unknown_path", "no such resource");
  if (request.method != "POST") return NotRun(405, "method_not_allowed", "use POST");
  const auto queue = std::find_if(document->queues.begin(), document->queues.end(),
                                  [&](const auto& q) { return q.name.view() == queue_name; });
  if (queue == document->queues.end()) {
    return NotRun(404, "unknown_queue", "no queue with this name is declared");
  }
  const std::string_view key = http::FindHeader(request.headers, "Idempotency-Key");
  if (!IsValidKey(key)) {
    return NotRun(400, "invalid_key",
                  "Idempotency-Key must have at most 128 letters, digits, '-', '_' or '.'");
  }
  Duration time_left = queue->deadline;
  const std::string_view deadline = http::FindHeader(request.headers, "Citronferry-Deadline-Ms");
  if (!deadline.empty()) {
    const auto milliseconds = ParseInteger(deadline);
    if (!milliseconds || *milliseconds > ToMilliseconds(24h * 28)) {
      return NotRun(400, "invalid_deadline", "Citronferry-Deadline-Ms must be an integer");
    }
    if (*milliseconds <= 0) return NotRun(408, "deadline_passed", "the deadline has passed");
    time_left = std::chrono::milliseconds(*milliseconds);
  }
  accepted.queue = *queue;
  accepted.team = *team;
  accepted.request_id = key.empty() ? RandomToken() + RandomToken() : std::string(key);
  accepted.deadline = m_context.timers.Now() + time_left;
  return std::nullopt;
}

QCoro::Task<http::Response> RequestHandler::Run(Accepted accepted, Span& span) {
  const auto ticket = m_dispatch.Submit(accepted.queue.name, accepted.team, accepted.deadline);
  Subscription abandoned = accepted.request.abandoned->Subscribe([&ticket] { ticket->Cancel(); });
  AttemptResult last;
  while (const auto action = co_await ticket->Next()) {
    if (const auto* start = std::get_if<dispatch::StartAttempt>(&*action)) {
      last = co_await RunAttempt(accepted, *start, span.context());
      ticket->EndAttempt(last.outcome);
      continue;
    }
    const auto& end = std::get<dispatch::EndRequest>(*action);
    switch (end.verdict) {
      case dispatch::Verdict::kAnswered:
        co_return Answered(std::move(last.response));
      case dispatch::Verdict::kNotRun:
        co_return NotRun(503, "not_run", end.reason, end.retry_after);
      case dispatch::Verdict::kFailed:
        co_return WithOutcome(http::MakeErrorResponse(422, "failed", end.reason), "failed");
      case dispatch::Verdict::kUnknown:
        co_return WithOutcome(http::MakeErrorResponse(504, "unknown", end.reason), "unknown");
    }
  }
  co_return NotRun(499, "cancelled", "the caller has gone");
}

QCoro::Task<AttemptResult> RequestHandler::RunAttempt(const Accepted& accepted,
                                                      const dispatch::StartAttempt& start,
                                                      const TraceContext& parent) {
  Span span("executor.attempt", parent);
  span.SetTag("executor", start.executor.view());
  Attempt attempt;
  attempt.executor = start.executor;
  attempt.queue = accepted.queue.name.str();
  attempt.request_id = accepted.request_id;
  attempt.content_type = http::FindHeader(accepted.request.headers, "Content-Type");
  if (attempt.content_type.empty()) attempt.content_type = "application/octet-stream";
  attempt.body = accepted.request.body;
  attempt.timeout = accepted.deadline - m_context.timers.Now();
  attempt.idempotency = accepted.queue.idempotent ? http::Idempotency::kIdempotent
                                                  : http::Idempotency::kNonIdempotent;
  attempt.trace = span.context();
  AttemptResult result = co_await m_executors.Execute(std::move(attempt));
  if (!result.detail.empty()) span.SetTag("detail", result.detail);
  co_return result;
}

}  // namespace citronferry::node
