#include "fleet/relay/internal/relay_session.h"

#include <utility>

#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

constexpr Duration kMaintenanceInterval = 300ms;
// Calls within this time share a message, and so the payload of their job.
constexpr Duration kFlushDelay = 2ms;
// Time for a call and its result to travel, beyond the time that the relay may take.
constexpr Duration kTransitMargin = 1s;

}  // namespace

RelaySession::RelaySession(TimerService& timers, std::unique_ptr<peering::Connection> connection,
                           FailureHandler on_failed)
    : m_timers(timers),
      m_connection(std::move(connection)),
      m_on_failed(std::move(on_failed)),
      m_maintenance(timers.Subscribe(kMaintenanceInterval, [this] { Maintain(); })) {
  Maintain();
}

RelaySession::~RelaySession() {
  for (auto& [number, pending] : m_pending) pending->Set(std::nullopt);
}

void RelaySession::Maintain() {
  const TimePoint now = m_timers.Now();
  std::erase_if(m_payloads,
                [now](const auto& entry) { return now - entry.second >= kPayloadLifetime; });
  if (m_open) return;
  // From a batch without calls the relay learns how long a message takes, so that it can tell that
  // the first calls are late.
  if (!m_connection->Send(peering::RelayCalls{.batch = EncodeCalls({}, now)})) return;
  m_connection->Send(peering::Hello{});
}

QCoro::Task<std::optional<RelayedResult>> RelaySession::Call(RelayedCall call, Duration longest,
                                                             StopSignal* abort) {
  if (!m_open) co_return std::nullopt;
  auto pending = std::make_shared<OneShot<std::optional<RelayedResult>>>();
  const uint64_t number = call.number;
  if (auto* start = std::get_if<RelayedStart>(&call.order)) {
    start->payload_known = KnowsPayload(start->order.task.job);
    m_payloads[start->order.task.job] = m_timers.Now();
  }
  m_pending.emplace(number, pending);
  m_batch.push_back(std::move(call));
  if (m_batch.size() == 1) {
    m_batch_began_at = m_timers.Now();
    m_flush = m_timers.SubscribeOnce(kFlushDelay, [this] { Flush(); });
  }
  const Subscription timer =
      m_timers.SubscribeOnce(longest + kTransitMargin, [this] { Fail("no result in time"); });
  Subscription aborted;
  if (abort) aborted = abort->Subscribe([pending = pending.get()] { pending->Set(std::nullopt); });
  std::optional<RelayedResult> result = co_await pending->Wait();
  m_pending.erase(number);
  co_return result;
}

bool RelaySession::KnowsPayload(const JobId& job) const {
  const auto found = m_payloads.find(job);
  return found != m_payloads.end() && m_timers.Now() - found->second < kPayloadLifetime;
}

void RelaySession::Flush() {
  const std::vector<RelayedCall> batch = std::exchange(m_batch, {});
  if (m_failed || batch.empty()) return;
  // This process may have been suspended since the calls were made, which makes them late as well.
  if (m_connection->Send(peering::RelayCalls{.batch = EncodeCalls(batch, m_batch_began_at)}))
    return;
  Fail("the connection takes no more messages");
}

void RelaySession::OnMessage(const peering::Message& message) {
  if (m_failed) return;
  if (std::holds_alternative<peering::Heartbeat>(message)) {
    m_open = true;
    return;
  }
  const auto* batch = std::get_if<peering::RelayResults>(&message);
  if (!batch) return;
  auto results = DecodeResults(batch->batch);
  if (!results) return Fail("a malformed batch of results");
  for (RelayedResult& result : *results) {
    // The relay has restarted.
    if (result.payload_missing) m_payloads.clear();
    const auto found = m_pending.find(result.number);
    if (found != m_pending.end()) found->second->Set(std::move(result));
  }
}

void RelaySession::Fail(std::string_view reason) {
  if (std::exchange(m_failed, true)) return;
  m_open = false;
  m_batch.clear();
  for (auto& [number, pending] : m_pending) pending->Set(std::nullopt);
  m_on_failed(reason);
}

}  // namespace citronferry::fleet
