#ifndef CITRONFERRY_FLEET_RELAY_INTERNAL_RELAY_SESSION_H_
#define CITRONFERRY_FLEET_RELAY_INTERNAL_RELAY_SESSION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/relay/relay_messages.h"
#include "peering/transport.h"
#include "supervision/awaitables.h"

namespace citronferry::fleet {

/// Connection of an owner to one relay, with the calls in progress on it.
class RelaySession {
 public:
  using FailureHandler = std::function<void(std::string_view reason)>;

  /// @param connection to the relay.
  /// @param on_failed called once, when a call was not answered or could not be sent.
  RelaySession(TimerService& timers, std::unique_ptr<peering::Connection> connection,
               FailureHandler on_failed);
  ~RelaySession();

  /// @return whether the relay has answered and no call has failed.
  bool open() const { return m_open; }
  /// @return whether the relay has received the payload of a job.
  bool KnowsPayload(const JobId& job) const;
  /// Makes a call through the relay. Calls of the same event loop iteration share a message.
  /// @param longest how long the relay may take for the call.
  /// @param abort optional; ends the wait when requested.
  /// @return the result, or nothing if the session failed or the call was aborted.
  QCoro::Task<std::optional<RelayedResult>> Call(RelayedCall call, Duration longest,
                                                 StopSignal* abort);
  /// Handles a message of the relay.
  void OnMessage(const peering::Message& message);

  /// How long after its last use the relay is taken to know a payload.
  static constexpr Duration kPayloadLifetime = 20s;

 private:
  using Pending = std::shared_ptr<OneShot<std::optional<RelayedResult>>>;

  /// Greets the relay until it answers, and shows it how long a message takes. Drops payloads that
  /// it may have dropped.
  void Maintain();
  void Flush();
  void Fail(std::string_view reason);

  TimerService& m_timers;
  std::unique_ptr<peering::Connection> m_connection;
  FailureHandler m_on_failed;
  bool m_open = false;
  bool m_failed = false;
  std::vector<RelayedCall> m_batch;  // Calls that the next message takes.
  TimePoint m_batch_began_at{};      // When the first of them was made.
  std::map<uint64_t, Pending> m_pending;
  std::map<JobId, TimePoint> m_payloads;  // When each was sent last.
  Subscription m_maintenance;
  Subscription m_flush;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_RELAY_INTERNAL_RELAY_SESSION_H_
