#include "fleet/relay/relay_client.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet/relay/internal/relay_session.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::StartAnswer;
using scheduling::StopAnswer;

// How long a relay that failed is not used; doubled with each failure in a row.
constexpr Duration kFirstPause = 3s;
constexpr Duration kLongestPause = 48s;

/// @return the outcome as an enumerator, or the fallback if the relay sent an unknown number.
template <typename Outcome>
Outcome ToOutcome(int number, Outcome last, Outcome fallback) {
  return number <= static_cast<int>(last) ? static_cast<Outcome>(number) : fallback;
}

}  // namespace

RelayClient::RelayClient(const FleetOptions& options, TimerService& timers, Metrics& metrics,
                         Executors& direct)
    : m_options(options), m_timers(timers), m_metrics(metrics), m_direct(direct) {}

RelayClient::~RelayClient() = default;

bool RelayClient::HasFailed(const EntryId& entry) const {
  const auto found = m_failures.find(entry);
  return found != m_failures.end() && m_timers.Now() < found->second.retry_at;
}

void RelayClient::SetRelays(const PoolName& pool, std::span<const EntryRecord> relays) {
  m_ended.clear();
  std::map<EntryId, EntryRecord>& used = m_relays[pool];
  used.clear();
  for (const EntryRecord& relay : relays) used.emplace(relay.entry, relay);
  if (used.empty()) m_relays.erase(pool);

  std::map<EntryId, const EntryRecord*> wanted;
  for (const auto& [name, entries] : m_relays) {
    for (const auto& [id, record] : entries) wanted.emplace(id, &record);
  }
  std::erase_if(m_sessions, [&](const auto& entry) { return !wanted.contains(entry.first); });
  for (const auto& [id, record] : wanted) {
    if (m_sessions.contains(id) || HasFailed(id)) continue;
    if (!m_transport) {
      m_transport = std::make_unique<peering::Transport>(
          peering::TransportOptions{.self = EntryId(m_options.name),
                                    .incarnation = m_options.incarnation,
                                    .keys = m_options.relay_keys},
          m_metrics, [this](peering::ReceivedMessage message) { OnMessage(std::move(message)); });
    }
    auto connection = m_transport->Connect(
        {.id = id, .address = record->address, .public_key = record->public_key});
    if (!connection) {
      OnFailed(id, "not an address or a key");
      continue;
    }
    m_sessions.emplace(id, std::make_shared<RelaySession>(
                               m_timers, std::move(connection),
                               [this, id = id](std::string_view reason) { OnFailed(id, reason); }));
  }
}

void RelayClient::OnFailed(const EntryId& entry, std::string_view reason) {
  Failure& failure = m_failures[entry];
  failure.pause = std::clamp(failure.pause * 2, kFirstPause, kLongestPause);
  failure.retry_at = m_timers.Now() + failure.pause;
  Log(LogLevel::kWarning, "relay_failed",
      {{"relay", entry.view()}, {"reason", reason}, {"pause_ms", ToMilliseconds(failure.pause)}});
  const auto found = m_sessions.find(entry);
  if (found == m_sessions.end()) return;
  // Destroyed later, since the session is on the call stack.
  m_ended.push_back(std::move(found->second));
  m_sessions.erase(found);
}

void RelayClient::OnMessage(peering::ReceivedMessage message) {
  const EntryId& sender = message.envelope.sender;
  const auto found = m_sessions.find(sender);
  if (found == m_sessions.end()) return;
  if (std::holds_alternative<peering::RelayResults>(message.envelope.message)) {
    m_failures.erase(sender);
  }
  const std::shared_ptr<RelaySession> session = found->second;
  session->OnMessage(message.envelope.message);
}

std::shared_ptr<RelaySession> RelayClient::FindSession(const EntryId& relay) const {
  const auto found = m_sessions.find(relay);
  return found != m_sessions.end() && found->second->open() ? found->second : nullptr;
}

bool RelayClient::KnowsPayload(const EntryId& relay, const JobId& job) const {
  const std::shared_ptr<RelaySession> session = FindSession(relay);
  return session && session->KnowsPayload(job);
}

QCoro::Task<HoldResult> RelayClient::Hold(ExecutorAddress to, HoldCall call) {
  if (const std::shared_ptr<RelaySession> session = FindSession(to.relay)) {
    RelayedCall relayed{.number = ++m_last_call,
                        .to = to,
                        .fencing_token = call.fencing_token,
                        .timeout = call.timeout,
                        .order = RelayedHold{.lease_until_ms = call.lease_until_ms,
                                             .acknowledged_end = call.acknowledged_end,
                                             .wait = call.wait}};
    auto result = co_await session->Call(std::move(relayed), call.wait + call.timeout, call.abort);
    if (!result) co_return HoldResult{.outcome = HoldOutcome::kRelayFailed};
    co_return HoldResult{
        .outcome = ToOutcome(result->outcome, HoldOutcome::kRelayFailed, HoldOutcome::kNoAnswer),
        .report = std::move(result->report),
        .error = std::move(result->error)};
  }
  co_return co_await m_direct.Hold(std::move(to), call);
}

QCoro::Task<StartResult> RelayClient::Start(ExecutorAddress to, StartCall call) {
  const std::shared_ptr<RelaySession> session = FindSession(to.relay);
  if (!session) co_return co_await m_direct.Start(std::move(to), call);
  RelayedCall relayed{
      .number = ++m_last_call,
      .to = to,
      .fencing_token = call.fencing_token,
      .timeout = call.timeout,
      .order = RelayedStart{.order = call.order, .lease_until_ms = call.lease_until_ms}};
  auto carried = co_await session->Call(std::move(relayed), call.timeout, nullptr);
  StartResult result;
  if (!carried) {
    result.error = "no result from the relay";
  } else if (carried->payload_missing) {
    result.answer = StartAnswer::kWithdrawn;
    result.error = "the relay does not have the payload";
  } else {
    result.answer = ToOutcome(carried->outcome, StartAnswer::kUnknown, StartAnswer::kUnknown);
    result.error = std::move(carried->error);
  }
  co_return result;
}

QCoro::Task<StopAnswer> RelayClient::Stop(ExecutorAddress to, scheduling::StopOrder order,
                                          int64_t fencing_token, Duration timeout) {
  const std::shared_ptr<RelaySession> session = FindSession(to.relay);
  if (!session) {
    co_return co_await m_direct.Stop(std::move(to), std::move(order), fencing_token, timeout);
  }
  RelayedCall relayed{.number = ++m_last_call,
                      .to = to,
                      .fencing_token = fencing_token,
                      .timeout = timeout,
                      .order = std::move(order)};
  const auto result = co_await session->Call(std::move(relayed), timeout, nullptr);
  co_return result ? ToOutcome(result->outcome, StopAnswer::kUnknown, StopAnswer::kUnknown)
                   : StopAnswer::kUnknown;
}

QCoro::Task<Ret> RelayClient::Pace(ExecutorAddress to, scheduling::PaceOrder order,
                                   int64_t fencing_token, Duration timeout) {
  const std::shared_ptr<RelaySession> session = FindSession(to.relay);
  if (!session) {
    co_return co_await m_direct.Pace(std::move(to), std::move(order), fencing_token, timeout);
  }
  RelayedCall relayed{.number = ++m_last_call,
                      .to = to,
                      .fencing_token = fencing_token,
                      .timeout = timeout,
                      .order = std::move(order)};
  const auto result = co_await session->Call(std::move(relayed), timeout, nullptr);
  if (!result) co_return Ret(ErrorCode::kUnknownOutcome, "no result from the relay");
  if (result->outcome == static_cast<int>(ErrorCode::kOk)) co_return MakeOk();
  co_return Ret(ToOutcome(result->outcome, ErrorCode::kInternal, ErrorCode::kInternal),
                result->error);
}

}  // namespace citronferry::fleet
