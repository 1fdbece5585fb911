#include "fleet/entry/internal/client_service.h"

#include <utility>

#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Larger than any body size that configurations allow; jobs take some kilobytes.
constexpr qint64 kMaxBodyBytes = 512 * 1024;
constexpr qint64 kMaxHeaderBytes = 32 * 1024;
// Long enough for clients to keep their connections open between calls.
constexpr Duration kIdleTimeout = 60s;
constexpr Duration kDrainTimeout = 2s;
// Short, since another entry may be able to reach the store.
constexpr Duration kRetryAfterStoreLost = 1s;
constexpr Duration kJobsDrainTimeout = 1s;

std::string_view ActionName(const ClientCall& call) {
  static constexpr std::array<std::string_view, 4> kNames{"submit", "show", "cancel", "count"};
  return kNames[call.action.index()];
}

}  // namespace

ClientService::ClientService(FleetContext& context)
    : m_context(context),
      m_access(context),
      m_jobs(context),
      m_server(
          context.timers,
          {.address = QHostAddress(QString::fromStdString(context.options.client_listener.address)),
           .port = context.options.client_listener.port,
           .limits = {.max_header_bytes = kMaxHeaderBytes,
                      .max_body_bytes = kMaxBodyBytes,
                      .idle_timeout = kIdleTimeout},
           .drain_timeout = kDrainTimeout,
           .budget = context.client_budget},
          [this](http::Request request) { return Handle(std::move(request)); }) {}

QCoro::Task<Ret> ClientService::Run() {
  const Ret served = co_await m_server.Run();
  static_cast<void>(co_await m_jobs.tasks().Join(m_context.timers, kJobsDrainTimeout));
  co_return served;
}

QCoro::Task<http::Response> ClientService::Handle(http::Request request) {
  const TimePoint received_at = m_context.timers.Now();
  const ClientProtocol& protocol = m_context.platform.clients;
  if (m_context.configuration.Get().version == 0) {
    co_return protocol.Encode(CallOutcome::kNotAccepted, kRetryAfterStoreLost);
  }
  // The configuration that the head refers to changes only when this task is suspended.
  const auto head = protocol.DecodeHead(request, m_context.configuration.Get());
  auto caller = m_access.Authorize(head, received_at);
  if (const auto* refusal = std::get_if<AccessRefusal>(&caller)) {
    co_return Refuse(request, *refusal);
  }
  const auto& accepted = std::get<CallHead>(head);
  auto action = protocol.Decode(request, accepted);
  if (const auto* error = std::get_if<CallError>(&action)) co_return Reject(request, *error);
  request.body = {};  // Not needed while the call waits for the store.
  ClientCall call{.queue = accepted.queue->policy,
                  .team = std::get<TeamName>(std::move(caller)),
                  .deadline = accepted.deadline,
                  .action = std::get<CallAction>(std::move(action))};
  CallRecord record{.action = ActionName(call),
                    .queue = call.queue,
                    .team = call.team,
                    .received_at = received_at};
  const TimePoint deadline = received_at + call.deadline;
  http::Response response;
  if (const auto* submit = std::get_if<SubmitJob>(&call.action)) {
    record.job = submit->definition.id;
    response = co_await Submit(std::move(call), deadline);
  } else if (const auto* show = std::get_if<ShowJob>(&call.action)) {
    record.job = show->job;
    response = co_await Show(std::move(call));
  } else if (const auto* cancel = std::get_if<CancelJob>(&call.action)) {
    record.job = cancel->job;
    response = co_await Cancel(std::move(call), deadline);
  } else {
    response = co_await Count(std::move(call));
  }
  Record(record, response.status);
  co_return response;
}

http::Response ClientService::Refuse(const http::Request& request, const AccessRefusal& refusal) {
  if (refusal.error) return Reject(request, *refusal.error);
  return m_context.platform.clients.Encode(CallOutcome::kNotAccepted, kRetryAfterStoreLost);
}

http::Response ClientService::Reject(const http::Request& request, const CallError& error) {
  Log(LogLevel::kInfo, "call_rejected",
      {{"path", request.path},
       {"reason", error.message},
       {"configuration", m_context.configuration.Get().version}});
  return m_context.platform.clients.EncodeError(error);
}

void ClientService::Record(const CallRecord& call, int status) {
  const Duration took = m_context.timers.Now() - call.received_at;
  m_context.metrics
      .Counter("citronferry_fleet_calls_total", "Calls of clients by action and status.",
               {{"action", std::string(call.action)}, {"status", std::to_string(status)}})
      .Increment();
  if (!call.team.empty()) {
    m_context.metrics
        .Counter("citronferry_fleet_team_calls_total", "Calls of teams by action and status.",
                 {{"team", call.team.str()},
                  {"action", std::string(call.action)},
                  {"status", std::to_string(status)}})
        .Increment();
  }
  m_context.metrics
      .LatencyHistogram("citronferry_fleet_call_seconds", "Time to answer a client's call.",
                        {{"action", std::string(call.action)}})
      .Observe(ToSeconds(took));
  // Calls that only read are logged only when they fail.
  const bool changes = call.action == "submit" || call.action == "cancel";
  if (!changes && status < 500) return;
  Log(LogLevel::kInfo, "call_answered",
      {{"request", call.job.view()},
       {"action", call.action},
       {"queue", call.queue.name.view()},
       {"pool", call.queue.pool.view()},
       {"team", call.team.view()},
       {"status", status},
       {"took_ms", ToMilliseconds(took)},
       {"configuration", m_context.configuration.Get().version},
       {"store_age_ms", ToMilliseconds(m_context.timers.Now() - m_context.store_answered_at)}});
}

QCoro::Task<http::Response> ClientService::Submit(ClientCall call, TimePoint deadline) {
  auto submit = std::get<SubmitJob>(std::move(call.action));
  submit.definition.accepted_policy = call.queue;
  submit.definition.team = call.team;
  const CallOutcome outcome =
      co_await m_jobs.Submit(call.queue.pool, std::move(submit.definition), deadline);
  co_return m_context.platform.clients.Encode(outcome, kRetryAfterStoreLost);
}

QCoro::Task<http::Response> ClientService::Show(ClientCall call) {
  const ClientProtocol& protocol = m_context.platform.clients;
  const JobId job = std::get<ShowJob>(call.action).job;
  JobLookup lookup = co_await m_jobs.Show(call.queue.pool, job);
  // A kept-alive connection to the store may be dead; the second attempt opens a new one.
  if (lookup.kind == JobLookup::Kind::kUnknown) lookup = co_await m_jobs.Show(call.queue.pool, job);
  if (lookup.kind == JobLookup::Kind::kFound) {
    if (!MayAccess(call.team, call.queue.pool, lookup)) {
      co_return protocol.Encode(CallOutcome::kOtherTeam);
    }
    co_return protocol.EncodeState(lookup.state);
  }
  co_return protocol.Encode(lookup.kind == JobLookup::Kind::kNoSuchJob ? CallOutcome::kNoSuchJob
                                                                       : CallOutcome::kNotAccepted,
                            kRetryAfterStoreLost);
}

QCoro::Task<http::Response> ClientService::Cancel(ClientCall call, TimePoint deadline) {
  const CallOutcome outcome = co_await m_jobs.Cancel(
      call.queue.pool, std::get<CancelJob>(call.action).job, call.team, deadline);
  co_return m_context.platform.clients.Encode(outcome, kRetryAfterStoreLost);
}

QCoro::Task<http::Response> ClientService::Count(ClientCall call) {
  const ClientProtocol& protocol = m_context.platform.clients;
  const auto pending = co_await m_jobs.CountPending(call.queue.pool, call.queue.name);
  if (!pending.ok()) co_return protocol.Encode(CallOutcome::kNotAccepted, kRetryAfterStoreLost);
  co_return protocol.EncodePending(pending.value());
}

}  // namespace citronferry::fleet
