#include "node/gateway/internal/request_handler.h"

#include <array>

#include "node/gateway/internal/responses.h"
#include "node/gateway/internal/team_authentication.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr char kRequestIdHeader[] = "Citronferry-Request-Id";

/// Admits every attempt.
class AlwaysAdmitGate : public AttemptGate {
 public:
  QCoro::Task<bool> Admit() override { co_return true; }
};

}  // namespace

/// Marks a request as started, then asks another gate.
class RequestHandler::TrackingGate : public AttemptGate {
 public:
  TrackingGate(ActiveRequest& active, AttemptGate& next) : m_active(active), m_next(next) {}
  QCoro::Task<bool> Admit() override {
    m_active.started = true;
    co_return co_await m_next.Admit();
  }

 private:
  ActiveRequest& m_active;
  AttemptGate& m_next;
};

struct RequestHandler::Route {
  std::string_view method;
  std::string_view prefix;
  std::string_view suffix;
  Endpoint endpoint;
};

const RequestHandler::Route* RequestHandler::FindRoute(std::string_view method,
                                                       std::string_view path, std::string& target,
                                                       bool& path_is_known) {
  static constexpr std::array<Route, 6> kRoutes{{
      {"POST", "/v1/queues/", "/requests", &RequestHandler::SubmitRequest},
      {"POST", "/v1/queues/", "/jobs", &RequestHandler::SubmitJob},
      {"GET", "/v1/requests/", "", &RequestHandler::ShowRequest},
      {"DELETE", "/v1/requests/", "", &RequestHandler::CancelRequest},
      {"GET", "/v1/jobs/", "", &RequestHandler::ShowJob},
      {"DELETE", "/v1/jobs/", "", &RequestHandler::CancelJob},
  }};
  for (const Route& route : kRoutes) {
    if (!path.starts_with(route.prefix) || !path.ends_with(route.suffix)) continue;
    if (path.size() <= route.prefix.size() + route.suffix.size()) continue;
    const std::string_view middle =
        path.substr(route.prefix.size(), path.size() - route.prefix.size() - route.suffix.size());
    if (middle.find('/') != std::string_view::npos) continue;
    path_is_known = true;
    if (method != route.method) continue;
    target = middle;
    return &route;
  }
  return nullptr;
}

QCoro::Task<http::Response> RequestHandler::Handle(http::Request request) {
  Span span("entry.request", TraceContext::Parse(http::FindHeader(request.headers, "traceparent")));
  http::Response response;
  Call call{.document = m_context.configuration.Get().document, .trace = span.context()};
  bool path_is_known = false;
  const Route* route = FindRoute(request.method, request.path, call.target, path_is_known);
  const bool draining = m_context.lifecycle.Get() == Lifecycle::kDraining;
  const TimePoint start = m_context.timers.Now();
  std::optional<TeamName> team;
  if (call.document) {
    team = AuthenticateTeam(*call.document, http::FindHeader(request.headers, "Authorization"));
  }
  if (!call.document || (draining && request.method == "POST")) {
    response = NotRunResponse(503, "not_ready", "this entry accepts no requests now", 1s);
  } else if (!team) {
    response = NotRunResponse(401, "unauthenticated", "a known bearer token is required");
  } else if (!route && path_is_known) {
    response = NotRunResponse(405, "method_not_allowed", "this resource has no such method");
  } else if (!route) {
    response = NotRunResponse(404, "unknown_path", "no such resource");
  } else {
    call.team = *team;
    call.request = std::move(request);
    response = co_await (this->*route->endpoint)(std::move(call));
  }
  const std::string outcome(http::FindHeader(response.headers, kOutcomeHeader));
  span.SetTag("outcome", outcome);
  span.SetTag("request", http::FindHeader(response.headers, kRequestIdHeader));
  RecordMetrics(outcome.empty() ? "none" : outcome, m_context.timers.Now() - start);
  co_return response;
}

void RequestHandler::RecordMetrics(const std::string& outcome, Duration elapsed) {
  m_context.metrics
      .Counter("citronferry_requests_total", "Requests answered, by outcome.",
               {{"outcome", outcome}})
      .Increment();
  m_context.metrics
      .LatencyHistogram("citronferry_request_seconds",
                        "Time from the arrival of a request to its answer, by outcome.",
                        {{"outcome", outcome}})
      .Observe(ToSeconds(elapsed));
}

QCoro::Task<http::Response> RequestHandler::SubmitRequest(Call call) {
  CheckResult checked = CheckSubmission(call, SubmissionKind::kRequest, m_context.timers.Now());
  if (auto* refusal = std::get_if<http::Response>(&checked)) co_return std::move(*refusal);
  const Submission submission = std::get<Submission>(std::move(checked));
  WorkItem work{.queue = submission.queue.name,
                .team = call.team,
                .request_id = submission.key,
                .content_type = submission.content_type,
                .body = call.request.body,
                .deadline = submission.deadline,
                .idempotency = submission.queue.idempotent ? http::Idempotency::kIdempotent
                                                           : http::Idempotency::kNonIdempotent,
                .trace = call.trace};
  ActiveRequest active{.idempotent = submission.queue.idempotent};
  const auto registered = m_active.emplace(LedgerKey(call.team, submission.key), &active);
  Subscription abandoned;
  if (call.request.abandoned) {
    abandoned = call.request.abandoned->Subscribe([&active] { active.cancel.Request(); });
  }
  http::Response response;
  if (submission.queue.idempotent) {
    response = co_await RunIdempotent(std::move(work), submission, active);
  } else {
    response = co_await RunClaimed(std::move(work), submission, active);
  }
  m_active.erase(registered);
  response.headers.push_back({kRequestIdHeader, submission.key});
  co_return response;
}

QCoro::Task<http::Response> RequestHandler::RunIdempotent(WorkItem work, Submission submission,
                                                          ActiveRequest& active) {
  AlwaysAdmitGate always_admit;
  TrackingGate gate(active, always_admit);
  const WorkResult result = co_await m_work.Run(std::move(work), gate, active.cancel);
  co_return MakeWorkResponse(result, submission.key);
}

QCoro::Task<http::Response> RequestHandler::RunClaimed(WorkItem work, Submission submission,
                                                       ActiveRequest& active) {
  const std::string ledger_key = LedgerKey(work.team, submission.key);
  if (submission.key_is_given) {
    const auto read = co_await m_ledger.Read(ledger_key);
    if (read.code == ErrorCode::kOk) {
      const auto status = m_ledger.ClassifyRow(ledger_key, read.row, submission.fingerprint);
      if (status != requests::RecordStatus::kReusable) {
        co_return co_await RespondFromRow(submission.key, read.row, status, 409);
      }
    } else if (read.code != ErrorCode::kNotFound) {
      co_return NotRunResponse(
          503, "store_unavailable",
          "this submission was not run: the request ledger can not be read. Repeat it "
          "with the same key, since an earlier submission may have run",
          1s);
    }
  }
  const requests::Record claim = m_ledger.MakeClaim(submission.fingerprint, submission.deadline);
  ClaimGate claim_gate(m_context, m_ledger, ledger_key, claim, submission.deadline);
  TrackingGate gate(active, claim_gate);
  const WorkResult result = co_await m_work.Run(std::move(work), gate, active.cancel);
  if (result.outcome == WorkOutcome::kWithdrawn) {
    if (claim_gate.refusal().release) {
      const requests::Answer released{.outcome = requests::Outcome::kNotRun,
                                      .reason = "the request was not sent"};
      m_ledger.Settle(ledger_key, claim, released, claim_gate.claim().version());
    }
    co_return co_await RespondToRefusal(ledger_key, submission, claim_gate.refusal());
  }
  co_return RecordAndRespond(ledger_key, submission, claim_gate, result);
}

http::Response RequestHandler::RecordAndRespond(const std::string& ledger_key,
                                                const Submission& submission, const ClaimGate& gate,
                                                const WorkResult& result) {
  // Without a claim the request was never sent, and there is nothing to record.
  if (gate.claim().held()) {
    m_ledger.Settle(ledger_key, gate.claim().record(), MakeAnswer(result), gate.claim().version());
  }
  return MakeWorkResponse(result, submission.key);
}

QCoro::Task<http::Response> RequestHandler::RespondToRefusal(std::string ledger_key,
                                                             Submission submission,
                                                             requests::RefuseRequest refusal) {
  switch (refusal.reason) {
    case requests::RefusalReason::kStoreUnavailable:
      co_return NotRunResponse(503, "store_unavailable",
                               "the request could not be claimed and was not sent", 1s);
    case requests::RefusalReason::kDeadlinePassed:
      co_return NotRunResponse(503, "deadline_passed",
                               "the deadline passed before the request was sent");
    case requests::RefusalReason::kDuplicateUnread:
      co_return UnknownOutcomeResponse("another submission has this key",
                                       RequestLocation(submission.key));
    case requests::RefusalReason::kDuplicate:
      break;
  }
  const auto status = m_ledger.ClassifyRow(ledger_key, refusal.existing, submission.fingerprint);
  co_return co_await RespondFromRow(submission.key, refusal.existing, status, 409);
}

QCoro::Task<http::Response> RequestHandler::RespondFromRow(std::string request_key,
                                                           requests::RecordRow row,
                                                           requests::RecordStatus status,
                                                           int in_progress_status) {
  const std::string location = RequestLocation(request_key);
  switch (status) {
    case requests::RecordStatus::kInProgress:
      co_return InProgressResponse(in_progress_status, location);
    case requests::RecordStatus::kUnknown:
      co_return UnknownOutcomeResponse("the entry that claimed the request gave no outcome",
                                       location);
    case requests::RecordStatus::kMismatch:
      co_return NotRunResponse(
          422, "key_reused", "the Idempotency-Key belongs to a request with another body or queue");
    case requests::RecordStatus::kReusable:
    case requests::RecordStatus::kRecorded:
      break;
  }
  const auto answer = co_await m_ledger.LoadAnswer(row.record.answer);
  if (!answer.ok()) co_return StoreUnavailableResponse("the recorded answer can not be read now");
  http::Response response = MakeResponse(answer.value());
  if (answer->outcome == requests::Outcome::kUnknown) {
    response.headers.push_back({"Location", location});
  }
  co_return response;
}

http::Response RequestHandler::MakeWorkResponse(const WorkResult& result,
                                                std::string_view request_key) const {
  switch (result.outcome) {
    case WorkOutcome::kCancelled:
    case WorkOutcome::kWithdrawn:
      return NotRunResponse(409, "cancelled", "the request was cancelled before it was sent");
    case WorkOutcome::kNotRun:
      return NotRunResponse(503, "not_run", result.reason, result.retry_after);
    case WorkOutcome::kUnknown:
      return UnknownOutcomeResponse(result.reason, RequestLocation(request_key));
    case WorkOutcome::kAnswered:
    case WorkOutcome::kFailed:
      break;
  }
  return MakeResponse(MakeAnswer(result));
}

QCoro::Task<http::Response> RequestHandler::ShowRequest(Call call) {
  if (!IsValidKey(call.target)) {
    co_return http::MakeErrorResponse(400, "invalid_key", "not a valid request key");
  }
  const std::string ledger_key = LedgerKey(call.team, call.target);
  const auto read = co_await m_ledger.Read(ledger_key);
  http::Response response;
  if (read.code == ErrorCode::kOk) {
    const auto status = m_ledger.ClassifyRow(ledger_key, read.row, {});
    response = co_await RespondFromRow(call.target, read.row, status, 202);
  } else if (FindActive(ledger_key)) {
    response = InProgressResponse(202, RequestLocation(call.target));
  } else if (read.code == ErrorCode::kNotFound) {
    response = http::MakeErrorResponse(404, "unknown_key",
                                       "no claim of a request with this key is recorded");
  } else {
    response = StoreUnavailableResponse("the request ledger can not be read now");
  }
  response.headers.push_back({kRequestIdHeader, call.target});
  co_return response;
}

QCoro::Task<http::Response> RequestHandler::CancelRequest(Call call) {
  if (!IsValidKey(call.target)) {
    co_return http::MakeErrorResponse(400, "invalid_key", "not a valid request key");
  }
  const std::string ledger_key = LedgerKey(call.team, call.target);
  ActiveRequest* active = FindActive(ledger_key);
  if (active && active->idempotent) {
    // Idempotent requests are not in the ledger, so only this entry knows their state.
    const bool started = active->started;
    active->cancel.Request();
    if (started) co_return InProgressResponse(409, RequestLocation(call.target));
    co_return CancelledResponse("the request was cancelled before it ran");
  }
  http::Response response = co_await RecordCancellation(ledger_key, call.target);
  if (response.status == 200) {
    // The request may have ended during the write, so the pointer is looked up again.
    active = FindActive(ledger_key);
    if (active) active->cancel.Request();
  }
  co_return response;
}

QCoro::Task<http::Response> RequestHandler::RecordCancellation(std::string ledger_key,
                                                               std::string request_key) {
  // An ended row in place of the claim makes a claim by any entry fail.
  requests::Record record{.state = requests::State::kEnded,
                          .token = RandomToken(),
                          .answer = {.outcome = requests::Outcome::kCancelled,
                                     .reason = "cancelled before it was sent"}};
  const std::string location = RequestLocation(request_key);
  std::optional<uint64_t> version;
  constexpr int kMaxWrites = 3;
  for (int writes = 0; writes < kMaxWrites; ++writes) {
    const auto written = co_await m_ledger.Write(ledger_key, record, version);
    if (written.code == ErrorCode::kOk) {
      co_return CancelledResponse("a non-idempotent request with this key will not run");
    }
    if (written.code == ErrorCode::kUnavailable) break;
    const auto read = co_await m_ledger.Read(ledger_key);
    if (read.code == ErrorCode::kNotFound) {
      version.reset();
      continue;
    }
    if (read.code != ErrorCode::kOk) break;
    const requests::Record& found = read.row.record;
    if (found.state == requests::State::kEnded &&
        found.answer.outcome == requests::Outcome::kCancelled) {
      co_return CancelledResponse("a non-idempotent request with this key will not run");
    }
    const auto status = m_ledger.ClassifyRow(ledger_key, read.row, {});
    if (status == requests::RecordStatus::kReusable) {
      version = read.row.version;
      continue;
    }
    if (status == requests::RecordStatus::kInProgress) co_return InProgressResponse(409, location);
    if (status == requests::RecordStatus::kUnknown) {
      co_return UnknownOutcomeResponse("the entry that claimed the request gave no outcome",
                                       location);
    }
    http::Response ended =
        http::MakeErrorResponse(409, "already_ended", "the request has ended and may have run");
    const http::Response answer = MakeResponse(found.answer);
    ended.headers.push_back(
        {kOutcomeHeader, std::string(http::FindHeader(answer.headers, kOutcomeHeader))});
    co_return ended;
  }
  co_return StoreUnavailableResponse("it is not known whether the cancellation was recorded");
}

QCoro::Task<http::Response> RequestHandler::SubmitJob(Call call) {
  co_return co_await m_jobs.Submit(std::move(call));
}

QCoro::Task<http::Response> RequestHandler::ShowJob(Call call) {
  co_return co_await m_jobs.Show(std::move(call));
}

QCoro::Task<http::Response> RequestHandler::CancelJob(Call call) {
  co_return co_await m_jobs.Cancel(std::move(call));
}

RequestHandler::ActiveRequest* RequestHandler::FindActive(const std::string& ledger_key) {
  const auto found = m_active.find(ledger_key);
  return found == m_active.end() ? nullptr : found->second;
}

}  // namespace citronferry::node
