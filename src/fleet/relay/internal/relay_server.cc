#include "fleet/relay/relay_server.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <utility>

#include "fleet/backoff.h"
#include "fleet/relay/internal/transit_clock.h"
#include "fleet/relay/relay_messages.h"
#include "peering/transport.h"
#include "supervision/task_scope.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using peering::ReceivedMessage;
using scheduling::StartAnswer;

constexpr Duration kKeyCheckInterval = 200ms;
constexpr Duration kInitialRetryDelay = 100ms;
constexpr Duration kMaxRetryDelay = 2s;
constexpr Duration kStopDeadline = 2s;
// Results within this time are sent in one message.
constexpr Duration kFlushDelay = 3ms;
// A call that took longer to arrive is not made. The owner has decided again on an order by then,
// and the executor may have restarted since a hold was decided on.
constexpr Duration kMaxTransit = 1s;
// Orders on their way to one executor at a time. Each has a connection, and connections to
// executors are charged.
constexpr size_t kOrdersPerExecutor = 2;
constexpr Duration kPeerRetention = 60s;
// Longer than RelaySession::kPayloadLifetime, so that an owner does not refer to a payload that was
// dropped.
constexpr Duration kPayloadRetention = 40s;
// Bounds the memory for calls in progress.
constexpr size_t kMaxCalls = 2000;

/// Limits the orders to one executor that are in progress at a time.
class OrderLane {
 public:
  /// Waits for a place in the order of arrival.
  /// @param deadline gives up at this time.
  /// @return whether a place was acquired; it has to be released.
  QCoro::Task<bool> Acquire(TimerService& timers, TimePoint deadline) {
    if (m_in_use < kOrdersPerExecutor) {
      ++m_in_use;
      co_return true;
    }
    auto turn = std::make_shared<OneShot<bool>>();
    m_waiting.push_back(turn);
    const Subscription timer =
        timers.SubscribeOnce(std::max(Duration::zero(), deadline - timers.Now()),
                             [turn = turn.get()] { turn->Set(false); });
    const bool acquired = co_await turn->Wait();
    if (!acquired) std::erase(m_waiting, turn);
    co_return acquired;
  }

  void Release() {
    while (!m_waiting.empty()) {
      const std::shared_ptr<OneShot<bool>> next = std::move(m_waiting.front());
      m_waiting.pop_front();
      if (next->is_set()) continue;  // Its deadline has passed.
      next->Set(true);
      return;
    }
    --m_in_use;
  }

  bool idle() const { return m_in_use == 0; }

 private:
  size_t m_in_use = 0;
  std::deque<std::shared_ptr<OneShot<bool>>> m_waiting;
};

class RelayServer : public Service {
 public:
  RelayServer(FleetContext& context, Executors& executors)
      : m_context(context), m_executors(executors) {}

  QCoro::Task<Ret> Run() override {
    co_await Listen();
    while (!m_stop.requested()) {
      UpdateKeys();
      ForgetIdlePeers();
      co_await SleepFor(m_context.timers, kKeyCheckInterval, &m_stop);
    }
    m_context.relay_address.clear();
    co_return co_await m_calls.Join(m_context.timers, kStopDeadline);
  }

  void Stop() override { m_stop.Request(); }

 private:
  struct CachedPayload {
    std::shared_ptr<const scheduling::JobDefinition> definition;
    TimePoint used_at{};
  };
  /// State of the connection of an owner.
  struct Peer {
    std::vector<RelayedResult> results;  ///< To be sent with the next message.
    Subscription flush;
    TransitClock transit;
    std::map<JobId, CachedPayload> payloads;
    TimePoint called_at{};
  };

  QCoro::Task<void> Listen() {
    const FleetOptions& options = m_context.options;
    Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
    while (!m_stop.requested()) {
      m_transport = std::make_unique<peering::Transport>(
          peering::TransportOptions{.self = EntryId(options.name),
                                    .incarnation = options.incarnation,
                                    .address = options.relay_listener.address,
                                    .port = options.relay_listener.port,
                                    .keys = options.relay_keys},
          m_context.metrics, [this](ReceivedMessage message) { OnMessage(std::move(message)); });
      const Ret listening = m_transport->Listen();
      if (listening.ok()) {
        m_context.relay_address = RelayAddress(options);
        co_return;
      }
      Log(LogLevel::kError, "relay_listen_failed", {{"error", listening.message()}});
      co_await SleepFor(m_context.timers, backoff.Next(), &m_stop);
    }
  }

  void UpdateKeys() {
    std::map<EntryId, std::string> keys;
    for (const auto& [pool, owner] : m_context.owners) {
      if (!owner.holder.empty() && !owner.relay_key.empty()) {
        keys[EntryId(owner.holder)] = owner.relay_key;
      }
    }
    if (keys == m_keys || !m_transport) return;
    m_transport->AcceptKeys(keys);
    m_keys = std::move(keys);
  }

  /// An owner that reconnects has another route.
  void ForgetIdlePeers() {
    const TimePoint now = m_context.timers.Now();
    std::erase_if(m_peers, [now](const auto& entry) {
      return entry.second.results.empty() && now - entry.second.called_at > kPeerRetention;
    });
    for (auto& [route, peer] : m_peers) {
      std::erase_if(peer.payloads, [now](const auto& entry) {
        return now - entry.second.used_at > kPayloadRetention;
      });
    }
  }

  void OnMessage(ReceivedMessage message) {
    if (m_stop.requested()) return;
    if (std::holds_alternative<peering::Hello>(message.envelope.message)) {
      m_transport->Reply(message.route, peering::Heartbeat{});
      return;
    }
    const auto* calls = std::get_if<peering::RelayCalls>(&message.envelope.message);
    if (!calls) return;
    auto batch = DecodeCalls(calls->batch);
    if (!batch) {
      Log(LogLevel::kWarning, "relayed_calls_malformed",
          {{"sender", message.envelope.sender.view()}, {"bytes", calls->batch.size()}});
      return;
    }
    const TimePoint now = m_context.timers.Now();
    Peer& peer = m_peers[message.route];
    peer.called_at = now;
    const Duration transit = peer.transit.Observe(batch->sent_at, now);
    for (RelayedCall& call : batch->calls) {
      if (auto* start = std::get_if<RelayedStart>(&call.order)) ResolvePayload(peer, *start, now);
      if (m_calls.running() >= kMaxCalls) {
        Log(LogLevel::kWarning, "relayed_call_refused",
            {{"sender", message.envelope.sender.view()}, {"calls", m_calls.running()}});
        return;
      }
      m_calls.Spawn([this, route = message.route, call = std::move(call), transit,
                     received_at = now]() mutable -> QCoro::Task<void> {
        return Carry(std::move(route), std::move(call), received_at - transit);
      });
    }
  }

  /// Adds the definition to an order whose payload was sent before.
  static void ResolvePayload(Peer& peer, RelayedStart& start, TimePoint now) {
    if (start.order.definition) {
      peer.payloads[start.order.task.job] = {.definition = start.order.definition, .used_at = now};
      return;
    }
    const auto found = peer.payloads.find(start.order.task.job);
    if (found == peer.payloads.end()) return;
    found->second.used_at = now;
    start.order.definition = found->second.definition;
  }

  /// Makes one call and queues its result.
  /// @param sent_at estimate of when the owner sent the call, on the clock of this entry.
  QCoro::Task<void> Carry(std::string route, RelayedCall call, TimePoint sent_at) {
    RelayedResult result{.number = call.number};
    if (const auto* hold = std::get_if<RelayedHold>(&call.order)) {
      co_await CarryHold(call, *hold, sent_at, result);
    } else {
      co_await CarryOrder(call, sent_at, result);
    }
    if (!m_stop.requested()) Queue(route, std::move(result));
  }

  QCoro::Task<void> CarryHold(const RelayedCall& call, const RelayedHold& hold, TimePoint sent_at,
                              RelayedResult& result) {
    // The owner makes the hold itself then, with what it knows of the executor by that time.
    if (m_context.timers.Now() - sent_at >= kMaxTransit) {
      result.outcome = static_cast<int>(HoldOutcome::kRelayFailed);
      result.error = "the hold was not sent in time";
      co_return;
    }
    HoldCall order{.lease_until_ms = hold.lease_until_ms,
                   .fencing_token = call.fencing_token,
                   .acknowledged_end = hold.acknowledged_end,
                   .wait = hold.wait,
                   .timeout = call.timeout,
                   .abort = &m_stop};
    HoldResult answer = co_await m_executors.Hold(call.to, order);
    result.outcome = static_cast<int>(answer.outcome);
    result.error = std::move(answer.error);
    result.report = std::move(answer.report);
  }

  QCoro::Task<void> CarryOrder(const RelayedCall& call, TimePoint sent_at, RelayedResult& result) {
    TimerService& timers = m_context.timers;
    const TimePoint deadline = sent_at + call.timeout;
    const auto* start = std::get_if<RelayedStart>(&call.order);
    if (start && !start->order.definition) {
      result.outcome = static_cast<int>(StartAnswer::kNotSent);
      result.payload_missing = true;
      co_return;
    }
    std::shared_ptr<OrderLane>& known = m_lanes[call.to.address];
    if (!known) known = std::make_shared<OrderLane>();
    const std::shared_ptr<OrderLane> lane = known;
    const bool acquired = co_await lane->Acquire(timers, std::min(deadline, sent_at + kMaxTransit));
    // The time also counts while this entry is suspended, in which the permission may have ended.
    const TimePoint now = timers.Now();
    const bool timely = acquired && now < deadline && now - sent_at < kMaxTransit;
    if (timely) {
      co_await Deliver(call, deadline - now, result);
    } else {
      result.outcome = NotSent(call.order);
      result.error = "the relay did not send it in time";
    }
    if (acquired) lane->Release();
    const auto current = m_lanes.find(call.to.address);
    if (lane->idle() && current != m_lanes.end() && current->second == lane) m_lanes.erase(current);
  }

  QCoro::Task<void> Deliver(const RelayedCall& call, Duration timeout, RelayedResult& result) {
    if (const auto* start = std::get_if<RelayedStart>(&call.order)) {
      const StartCall order{.order = start->order,
                            .lease_until_ms = start->lease_until_ms,
                            .fencing_token = call.fencing_token,
                            .timeout = timeout};
      StartResult started = co_await m_executors.Start(call.to, order);
      result.outcome = static_cast<int>(started.answer);
      result.error = std::move(started.error);
    } else if (const auto* stop = std::get_if<scheduling::StopOrder>(&call.order)) {
      const auto answer = co_await m_executors.Stop(call.to, *stop, call.fencing_token, timeout);
      result.outcome = static_cast<int>(answer);
    } else if (const auto* pace = std::get_if<scheduling::PaceOrder>(&call.order)) {
      const Ret ret = co_await m_executors.Pace(call.to, *pace, call.fencing_token, timeout);
      result.outcome = static_cast<int>(ret.code());
      result.error = std::string(ret.message());
    }
  }

  /// @return the outcome of an order that was certainly not sent.
  static int NotSent(const RelayedOrder& order) {
    if (std::holds_alternative<RelayedStart>(order)) return static_cast<int>(StartAnswer::kNotSent);
    if (std::holds_alternative<scheduling::StopOrder>(order)) {
      return static_cast<int>(scheduling::StopAnswer::kUnknown);
    }
    return static_cast<int>(ErrorCode::kUnavailable);
  }

  void Queue(const std::string& route, RelayedResult result) {
    Peer& peer = m_peers[route];
    peer.results.push_back(std::move(result));
    if (peer.results.size() > 1) return;
    peer.flush = m_context.timers.SubscribeOnce(kFlushDelay, [this, route] { Flush(route); });
  }

  void Flush(const std::string& route) {
    Peer& peer = m_peers[route];
    const std::vector<RelayedResult> results = std::exchange(peer.results, {});
    if (m_transport->Reply(route, peering::RelayResults{.batch = EncodeResults(results)})) return;
    // The owner has disconnected; it takes the calls for unanswered.
    Log(LogLevel::kInfo, "relayed_results_dropped", {{"results", results.size()}});
    m_peers.erase(route);
  }

  FleetContext& m_context;
  Executors& m_executors;
  StopSignal m_stop;
  std::map<EntryId, std::string> m_keys;                      // Accepted public keys of owners.
  std::map<std::string, Peer> m_peers;                        // By the route of their connection.
  std::map<std::string, std::shared_ptr<OrderLane>> m_lanes;  // By the address of the executor.
  std::unique_ptr<peering::Transport> m_transport;
  TaskScope m_calls;
};

}  // namespace

ChildSpec MakeRelayServer(FleetContext& context, Executors& executors) {
  return {.name = "relay", .factory = [&context, &executors] {
            return std::make_unique<RelayServer>(context, executors);
          }};
}

}  // namespace citronferry::fleet
