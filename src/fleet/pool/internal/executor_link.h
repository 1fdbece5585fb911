#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_EXECUTOR_LINK_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_EXECUTOR_LINK_H_

#include <array>
#include <optional>
#include <variant>

#include "decisions/scheduling/types.h"
#include "fleet/interfaces/executors.h"
#include "supervision/awaitables.h"
#include "supervision/task_scope.h"

namespace citronferry::fleet {

class PoolOwner;

/// The owner's contact with one executor: one task asks for its runs and keeps their lease, and one
/// for each order connection sends the orders queued there, each in its order.
class ExecutorLink {
 public:
  ExecutorLink(PoolOwner& owner, scheduling::ExecutorId id);

  /// Starts the link's tasks in a scope that ends before the link.
  void Start(TaskScope& tasks);
  void Send(scheduling::StartOrder order);
  void Send(scheduling::StopOrder order);
  void Send(scheduling::PaceOrder order);
  /// Notes that a commit has become durable.
  void OnCommitted();
  /// @return whether all tasks of the link have ended.
  bool finished() const { return m_running_tasks == 0; }

 private:
  using Order = std::variant<scheduling::StartOrder, scheduling::StopOrder, scheduling::PaceOrder>;
  struct QueuedOrder {
    Order order;
    TimePoint queued_at{};
  };
  // Two connections keep a burst of starts short; each one more costs a handshake.
  static constexpr size_t kOrderConnections = 2;

  QCoro::Task<void> Hold();
  QCoro::Task<void> SendOrders(Mailbox<QueuedOrder>& queue);
  QCoro::Task<void> Deliver(scheduling::StartOrder order, TimePoint queued_at);
  QCoro::Task<void> Deliver(scheduling::StopOrder order, TimePoint queued_at);
  QCoro::Task<void> Deliver(scheduling::PaceOrder order, TimePoint queued_at);
  void Queue(Order order);
  ExecutorAddress Address() const { return {.id = m_id, .address = m_address}; }
  void ReadClock(int64_t clock_ms, TimePoint now);
  /// @return a lease from now, on the executor's clock, if that is known.
  std::optional<int64_t> LeaseFrom(TimePoint now) const;
  QCoro::Task<void> WaitUntilDurable();

  PoolOwner& m_owner;
  scheduling::ExecutorId m_id;
  std::string m_address;
  std::optional<int64_t> m_clock_ms;  // The executor's clock when it was last read.
  TimePoint m_clock_read_at{};
  int64_t m_born_unix_ms = 0;
  int m_running_tasks = 0;
  std::array<Mailbox<QueuedOrder>, kOrderConnections> m_orders;
  struct Committed {};
  Mailbox<Committed> m_commits;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_EXECUTOR_LINK_H_
