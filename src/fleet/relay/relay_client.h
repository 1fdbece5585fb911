#ifndef CITRONFERRY_FLEET_RELAY_RELAY_CLIENT_H_
#define CITRONFERRY_FLEET_RELAY_RELAY_CLIENT_H_

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "fleet/fleet_context.h"
#include "fleet/relay/relay_messages.h"
#include "peering/transport.h"

namespace citronferry::fleet {

class RelaySession;

/// Calls executors directly, or through the entry that ExecutorAddress::relay names if a connection
/// to it is open. No call is made twice: without a result from the relay, a hold ends with
/// HoldOutcome::kRelayFailed and the outcome of an order is unknown. What a hold tells an executor
/// may concern a previous incarnation by then, so only its caller can repeat it.
class RelayClient : public Executors {
 public:
  /// @param direct makes the calls that go through no relay. All references have to outlive this
  ///   object.
  RelayClient(const FleetOptions& options, TimerService& timers, Metrics& metrics,
              Executors& direct);
  ~RelayClient() override;

  /// Sets the relays that the owner of a pool uses, and connects to them in the background.
  /// Connections that no pool uses are closed.
  void SetRelays(const PoolName& pool, std::span<const EntryRecord> relays);
  /// @return whether an entry failed to answer a short time ago.
  bool HasFailed(const EntryId& entry) const;
  /// @return whether the connection to a relay is open.
  bool IsOpen(const EntryId& relay) const { return FindSession(relay) != nullptr; }
  /// @return whether a start of the job through the relay needs no payload.
  bool KnowsPayload(const EntryId& relay, const JobId& job) const;

  QCoro::Task<HoldResult> Hold(ExecutorAddress to, HoldCall call) override;
  QCoro::Task<StartResult> Start(ExecutorAddress to, StartCall call) override;
  QCoro::Task<scheduling::StopAnswer> Stop(ExecutorAddress to, scheduling::StopOrder order,
                                           int64_t fencing_token, Duration timeout) override;
  QCoro::Task<Ret> Pace(ExecutorAddress to, scheduling::PaceOrder order, int64_t fencing_token,
                        Duration timeout) override;

 private:
  struct Failure {
    TimePoint retry_at{};
    Duration pause{};
  };

  /// @return the open session with a relay, or nullptr.
  std::shared_ptr<RelaySession> FindSession(const EntryId& relay) const;
  void OnMessage(peering::ReceivedMessage message);
  void OnFailed(const EntryId& entry, std::string_view reason);

  const FleetOptions& m_options;
  TimerService& m_timers;
  Metrics& m_metrics;
  Executors& m_direct;
  std::unique_ptr<peering::Transport> m_transport;
  std::map<PoolName, std::map<EntryId, EntryRecord>> m_relays;
  std::map<EntryId, std::shared_ptr<RelaySession>> m_sessions;
  std::vector<std::shared_ptr<RelaySession>> m_ended;  // Until the next call of SetRelays.
  std::map<EntryId, Failure> m_failures;
  uint64_t m_last_call = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_RELAY_RELAY_CLIENT_H_
