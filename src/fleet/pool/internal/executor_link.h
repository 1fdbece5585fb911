#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_EXECUTOR_LINK_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_EXECUTOR_LINK_H_

#include <array>
#include <optional>
#include <variant>

#include "decisions/scheduling/executor_session.h"
#include "decisions/scheduling/executor_state.h"
#include "decisions/scheduling/types.h"
#include "fleet/interfaces/executors.h"
#include "supervision/awaitables.h"
#include "supervision/task_scope.h"

namespace citronferry::fleet {

class PoolOwner;

/// Communication of a pool's owner with one executor. One task polls the executor's runs and
/// extends their lease; one task for each queue of orders sends them one after the other.
class ExecutorLink {
 public:
  ExecutorLink(PoolOwner& owner, scheduling::ExecutorId id);

  /// Starts the tasks of the link.
  /// @param tasks scope that has to end before the link.
  void Start(TaskScope& tasks);
  /// Queues an order where the fewest are waiting.
  void Send(scheduling::StartOrder order);
  void Send(scheduling::StopOrder order);
  void Send(scheduling::PaceOrder order);
  /// Sets the entry that makes the calls to the executor; empty for direct calls.
  void SetRelay(EntryId relay) { m_relay = std::move(relay); }
  const EntryId& relay() const { return m_relay; }
  /// Has to be called after each commit, since ended runs are acknowledged only once they are
  /// durable.
  void OnCommitted();
  /// @return whether all tasks of the link have ended.
  bool finished() const { return m_running_tasks == 0; }

 private:
  using Order = std::variant<scheduling::StartOrder, scheduling::StopOrder, scheduling::PaceOrder>;
  struct QueuedOrder {
    Order order;
    TimePoint queued_at{};
  };
  // Two connections shorten bursts of starts; each further one would cost another handshake.
  static constexpr size_t kDirectOrders = 2;
  // Orders for a relay share messages and, on the way to the relay, one connection.
  static constexpr size_t kRelayedOrders = 8;

  /// Polls the runs of the executor and extends their lease.
  QCoro::Task<void> Hold();
  QCoro::Task<void> SendOrders(Mailbox<QueuedOrder>& queue);
  QCoro::Task<void> Deliver(scheduling::StartOrder order, TimePoint queued_at);
  /// @return the result of a start that must not be sent now; nothing if it may be sent.
  std::optional<StartResult> Withhold(const scheduling::StartOrder& order, TimePoint queued_at,
                                      TimePoint now) const;
  QCoro::Task<void> Deliver(scheduling::StopOrder order, TimePoint queued_at);
  QCoro::Task<void> Deliver(scheduling::PaceOrder order, TimePoint queued_at);
  void Queue(Order order);
  /// Records that a hold had no response.
  /// @param waited whether the time for the response has passed.
  void OnSilence(TimePoint asked_at, bool waited);
  /// Logs the result of a hold that decides whether the runs of a silent executor are given up.
  void LogHoldAfterLease(const HoldResult& result, TimePoint asked_at) const;
  /// @param incarnation_unix_ms that the call is meant for; nothing: any.
  ExecutorAddress Address(std::optional<int64_t> incarnation_unix_ms = std::nullopt) const {
    return {.id = m_id,
            .address = m_address,
            .relay = m_relay,
            .incarnation_unix_ms = incarnation_unix_ms};
  }
  /// Waits until the ended runs that were reported are durable, and until a new incarnation can be
  /// given a fencing token.
  QCoro::Task<void> WaitUntilDurable();

  PoolOwner& m_owner;
  scheduling::ExecutorId m_id;
  std::string m_address;
  EntryId m_relay;
  scheduling::ExecutorSession m_session;
  std::optional<TimePoint> m_lease_sent_at;  // When the last hold with a lease was sent.
  int m_running_tasks = 0;
  std::array<Mailbox<QueuedOrder>, kRelayedOrders> m_orders;
  struct Committed {};  // Event without data.
  Mailbox<Committed> m_commits;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_EXECUTOR_LINK_H_
