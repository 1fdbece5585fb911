#include "platform/internal/executors.h"

#include <QElapsedTimer>
#include <algorithm>
#include <array>
#include <utility>

#include "json/reader.h"
#include "platform/internal/task_name.h"
#include "platform/internal/wire.h"

namespace citronferry::platform {
namespace {

using scheduling::ActiveRun;
using scheduling::EndedRun;
using scheduling::ExecutorReport;
using scheduling::RunEnd;
using scheduling::StartAnswer;
using scheduling::StopAnswer;
namespace bj = boost::json;

constexpr std::array<WireName<RunEnd>, 6> kRunEnds{{{"done", RunEnd::kDone},
                                                    {"failed", RunEnd::kFailed},
                                                    {"stopped", RunEnd::kStopped},
                                                    {"lapsed", RunEnd::kLeaseExpired},
                                                    {"broken", RunEnd::kBroken},
                                                    {"alone", RunEnd::kGangIncomplete}}};

constexpr std::array<WireName<StartAnswer>, 5> kStartRefusals{
    {{"fence", StartAnswer::kFenced},
     {"old", StartAnswer::kRunOutdated},
     {"late", StartAnswer::kDeadlinePassed},
     {"room", StartAnswer::kInsufficientCapacity},
     {"ticket", StartAnswer::kTicketInvalid}}};

// Most ends in a report. One with as many may leave out others.
constexpr size_t kMaxListedEnds = 500;

// The address now belongs to another executor than the one in X-Expect-Instance.
constexpr int kStatusMisdirectedRequest = 421;

std::string RefusalReason(const http::Response& response) {
  const auto body = json::Parse(BodyText(response));
  return body.ok() ? json::ObjectReader(body.value()).Text("reason") : std::string();
}

// Decodes [task, run, checkpoint, percent, metric]; the last three may be absent.
std::optional<ActiveRun> DecodeActiveRun(const bj::value& value) {
  const bj::array* row = value.if_array();
  if (!row || row->size() < 2) return std::nullopt;
  const auto task = ParseTask(json::AsText((*row)[0]));
  const auto run = json::AsInteger((*row)[1]);
  if (!task || !run) return std::nullopt;
  ActiveRun active{.task = *task, .run = *run};
  if (row->size() > 2) active.checkpoint = json::AsText((*row)[2]);
  if (row->size() > 3) {
    active.percent =
        static_cast<int>(std::clamp(json::AsNumber((*row)[3]).value_or(0), 0.0, 100.0));
  }
  if (row->size() > 4) active.metric = json::AsNumber((*row)[4]).value_or(0);
  return active;
}

// Decodes [number, task, run, end, checkpoint]; the checkpoint may be absent.
std::optional<EndedRun> DecodeEndedRun(const bj::value& value) {
  const bj::array* row = value.if_array();
  if (!row || row->size() < 4) return std::nullopt;
  const auto number = json::AsInteger((*row)[0]);
  const auto task = ParseTask(json::AsText((*row)[1]));
  const auto run = json::AsInteger((*row)[2]);
  const auto end = FindByWireName(kRunEnds, json::AsText((*row)[3]));
  if (!number || !task || !run || !end) return std::nullopt;
  EndedRun ended{.number = *number, .task = *task, .run = *run, .end = *end};
  if (row->size() > 4) ended.checkpoint = json::AsText((*row)[4]);
  return ended;
}

// A connection on which an incarnation has answered may be taken by another call at once.
constexpr int kMaxAttempts = 3;

std::optional<int64_t> ReadIncarnation(const http::Response& response) {
  const auto report = DecodeReport(BodyText(response));
  if (response.status != 200 || !report.ok()) return std::nullopt;
  return report->incarnation_unix_ms;
}

}  // namespace

RetVal<ExecutorReport> DecodeReport(std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  reader.Require("clockMs");
  ExecutorReport report{.incarnation_unix_ms = reader.Integer("born", json::kClockRange),
                        .clock_ms = reader.Integer("clockMs", json::kClockRange)};
  if (const bj::array* rows = reader.Array("active")) {
    for (const bj::value& row : *rows) {
      if (auto active = DecodeActiveRun(row)) report.active.push_back(std::move(*active));
    }
  }
  if (const bj::array* rows = reader.Array("finished")) {
    report.incomplete = rows->size() >= kMaxListedEnds;
    for (const bj::value& row : *rows) {
      if (auto ended = DecodeEndedRun(row)) report.ended.push_back(std::move(*ended));
    }
  }
  if (!reader.ok()) return reader.ret();
  return report;
}

QCoro::Task<RetVal<http::Response>> HttpExecutors::Post(const fleet::ExecutorAddress& to,
                                                        const Endpoint& endpoint,
                                                        const Route& route, std::string_view body,
                                                        Duration timeout, StopSignal* abort) {
  http::ClientRequest request{
      .method = "POST",
      .url = "http://" + to.address + std::string(endpoint.path),
      .headers = {{"Content-Type", "application/json"}, {"X-Expect-Instance", to.id.str()}},
      .body = QByteArray(body.data(), static_cast<qsizetype>(body.size())),
      .timeout = timeout,
      // The run id makes a repeated order harmless, so idle keep-alive connections may be reused.
      .idempotency = http::Idempotency::kIdempotent,
      .abort = abort,
      .required_label = route.incarnation_unix_ms,
      .kind = endpoint.kind};
  if (route.identifies) request.read_label = ReadIncarnation;
  return m_client.Send(std::move(request));
}

QCoro::Task<RetVal<http::Response>> HttpExecutors::Identify(const fleet::ExecutorAddress& to,
                                                            int64_t fencing_token, Duration timeout,
                                                            StopSignal* abort) {
  const bj::object body{{"fencingToken", fencing_token}, {"lastSeen", 0}};
  return Post(to, kHold, kIdentification, bj::serialize(body), timeout, abort);
}

QCoro::Task<HttpExecutors::BoundExchange> HttpExecutors::PostToIncarnation(
    const fleet::ExecutorAddress& to, const Endpoint& endpoint, int64_t fencing_token,
    std::string_view body, Duration timeout, StopSignal* abort) {
  const Route route{.incarnation_unix_ms = to.incarnation_unix_ms};
  QElapsedTimer elapsed;
  elapsed.start();
  BoundExchange exchange{.response =
                             Ret(ErrorCode::kUnavailable, "no identified connection in time")};
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const Duration left = std::max<Duration>(
        Duration::zero(), timeout - std::chrono::milliseconds(elapsed.elapsed()));
    // A busy process may receive the identification after its timeout.
    if (left == Duration::zero()) break;
    exchange.response = co_await Post(to, endpoint, route, body, left, abort);
    if (exchange.response.ok() || exchange.response.code() != ErrorCode::kUnavailable) break;
    auto identification = co_await Identify(to, fencing_token, left, abort);
    if (!identification.ok()) {
      const std::string reason(identification.ret().message());
      exchange.response = Ret(ErrorCode::kUnavailable, "not identified: " + reason);
      break;
    }
    if (ReadIncarnation(identification.value()) != to.incarnation_unix_ms) {
      exchange.identification = std::move(identification).value();
      break;
    }
  }
  co_return exchange;
}

fleet::HoldResult HttpExecutors::ReadHold(const RetVal<http::Response>& response) {
  fleet::HoldResult result;
  if (!response.ok()) {
    result.error = std::string(response.ret().message());
    return result;
  }
  if (response->status == 200) {
    auto report = DecodeReport(BodyText(response.value()));
    if (report.ok()) {
      result.outcome = fleet::HoldOutcome::kReported;
      result.report = std::move(report).value();
    } else {
      result.error = std::string(report.ret().message());
    }
  } else if (response->status == kStatusMisdirectedRequest) {
    result.outcome = fleet::HoldOutcome::kOtherExecutor;
  } else if (response->status == 409) {
    result.outcome = fleet::HoldOutcome::kFenced;
    result.error = RefusalReason(response.value());
  } else {
    result.error = "the executor returned HTTP status " + std::to_string(response->status);
  }
  return result;
}

QCoro::Task<fleet::HoldResult> HttpExecutors::Hold(fleet::ExecutorAddress to,
                                                   fleet::HoldCall call) {
  const bool has_terms = call.lease_until_ms || call.acknowledged_end > 0;
  if (!has_terms) {
    const auto report = co_await Identify(to, call.fencing_token, call.timeout, call.abort);
    co_return ReadHold(report);
  }
  bj::object body{{"fencingToken", call.fencing_token}, {"lastSeen", call.acknowledged_end}};
  if (call.lease_until_ms) body["deadlineMs"] = *call.lease_until_ms;
  if (call.wait > Duration::zero()) body["waitMs"] = ToMilliseconds(call.wait);
  const std::string text = bj::serialize(body);
  BoundExchange exchange = co_await PostToIncarnation(to, kHold, call.fencing_token, text,
                                                      call.wait + call.timeout, call.abort);
  if (exchange.identification) exchange.response = std::move(*exchange.identification);
  co_return ReadHold(exchange.response);
}

QCoro::Task<fleet::StartResult> HttpExecutors::Start(fleet::ExecutorAddress to,
                                                     fleet::StartCall call) {
  const scheduling::StartOrder& order = call.order;
  bj::object body{{"task", FormatTask(order.task)},
                  {"runId", order.run},
                  {"spec", order.definition->payload},
                  {"deadlineMs", call.lease_until_ms},
                  {"fencingToken", call.fencing_token}};
  if (!order.checkpoint.empty()) body["checkpoint"] = order.checkpoint;
  if (!order.ticket.empty()) body["ticket"] = order.ticket;
  const std::string text = bj::serialize(body);
  const BoundExchange exchange =
      co_await PostToIncarnation(to, kStart, call.fencing_token, text, call.timeout);
  fleet::StartResult result;
  if (exchange.identification) {
    result = ReadStart(*exchange.identification);
    const bool refused =
        result.answer != StartAnswer::kStarted && result.answer != StartAnswer::kUnknown;
    if (!refused) {
      result.answer = StartAnswer::kNotSent;
      result.error = "another incarnation has answered";
    }
  } else if (exchange.response.ok()) {
    result = ReadStart(exchange.response.value());
  } else {
    const bool sent = exchange.response.code() != ErrorCode::kUnavailable;
    result.answer = sent ? StartAnswer::kUnknown : StartAnswer::kNotSent;
    result.error = std::string(exchange.response.ret().message());
  }
  co_return result;
}

fleet::StartResult HttpExecutors::ReadStart(const http::Response& response) {
  switch (response.status) {
    case 200:
      return {.answer = StartAnswer::kStarted};
    case 400:
      return {.answer = StartAnswer::kMalformed};
    case 429:
    case 503:
      return {.answer = StartAnswer::kUnhealthy};
    case kStatusMisdirectedRequest:
      return {.answer = StartAnswer::kOtherExecutor};
    case 409: {
      const std::string reason = RefusalReason(response);
      const auto answer = FindByWireName(kStartRefusals, reason);
      if (answer) return {.answer = *answer};
      return {.answer = StartAnswer::kUnknown, .error = reason};
    }
    default:
      return {.answer = StartAnswer::kUnknown,
              .error = "the executor returned HTTP status " + std::to_string(response.status)};
  }
}

QCoro::Task<StopAnswer> HttpExecutors::Stop(fleet::ExecutorAddress to, scheduling::StopOrder order,
                                            int64_t fencing_token, Duration timeout) {
  const bj::object body{
      {"task", FormatTask(order.task)}, {"runId", order.run}, {"fencingToken", fencing_token}};
  const auto response = co_await Post(to, kStop, kAnywhere, bj::serialize(body), timeout);
  if (!response.ok()) co_return StopAnswer::kUnknown;
  if (response->status == 200) co_return StopAnswer::kAccepted;
  if (response->status == kStatusMisdirectedRequest) co_return StopAnswer::kOtherExecutor;
  co_return response->status == 409 ? StopAnswer::kFenced : StopAnswer::kUnknown;
}

QCoro::Task<Ret> HttpExecutors::Pace(fleet::ExecutorAddress to, scheduling::PaceOrder order,
                                     int64_t fencing_token, Duration timeout) {
  const bj::object body{{"task", FormatTask(order.task)},
                        {"runId", order.run},
                        {"percent", order.percent},
                        {"fencingToken", fencing_token}};
  const auto response = co_await Post(to, kPace, kAnywhere, bj::serialize(body), timeout);
  if (!response.ok()) co_return response.ret();
  if (response->status == 200) co_return MakeOk();
  co_return Ret(ErrorCode::kConflict,
                "the executor returned HTTP status " + std::to_string(response->status));
}

QCoro::Task<RetVal<fleet::Advice>> HttpPlacementAdviser::Advise(
    scheduling::TaskId step, std::vector<scheduling::ExecutorId> candidates, Duration timeout) {
  if (m_address.empty()) co_return Ret(ErrorCode::kUnavailable, "no placement adviser configured");
  bj::array workers;
  for (const scheduling::ExecutorId& id : candidates) workers.emplace_back(id.str());
  const bj::object body{{"stepId", FormatStep(step)}, {"workers", std::move(workers)}};
  http::ClientRequest request{.method = "POST",
                              .url = "http://" + m_address + "/v1/advise",
                              .headers = {{"Content-Type", "application/json"}},
                              .body = QByteArray::fromStdString(bj::serialize(body)),
                              .timeout = timeout,
                              .idempotency = http::Idempotency::kSafe,
                              .kind = "adviser"};
  const auto response = co_await m_client.Send(std::move(request));
  if (!response.ok()) co_return response.ret();
  if (response->status != 200) {
    co_return Ret(ErrorCode::kResourceExhausted,
                  "the placement adviser returned HTTP status " + std::to_string(response->status));
  }
  const auto value = json::Parse(BodyText(response.value()));
  if (!value.ok()) co_return value.ret();
  json::ObjectReader reader(value.value());
  fleet::Advice advice{.validity = reader.Interval("validMs")};
  if (const bj::array* rows = reader.Array("allowed")) {
    for (const bj::value& value_row : *rows) {
      const bj::array* row = value_row.if_array();
      if (!row || row->size() < 2) continue;
      advice.tickets.push_back({.executor = scheduling::ExecutorId(json::AsText((*row)[0])),
                                .value = std::string(json::AsText((*row)[1]))});
    }
  }
  if (!reader.ok()) co_return reader.ret();
  co_return advice;
}

}  // namespace citronferry::platform
