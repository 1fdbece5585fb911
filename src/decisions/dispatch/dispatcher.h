#ifndef CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_
#define CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_

#include <deque>
#include <map>
#include <vector>

#include "decisions/dispatch/types.h"

namespace citronferry::dispatch {

/// Decides which request runs where and when, for one entry. Pure: it keeps state, but reads no
/// clock and does no I/O.
class Dispatcher {
 public:
  /// @param now time of the event; must not go backwards.
  /// @return what the caller has to do, in this order.
  std::vector<Action> Handle(const Event& event, TimePoint now);

  /// @return requests that wait for a slot.
  size_t queued() const;
  /// @return requests that wait for a slot, by pool.
  std::map<PoolName, size_t> WaitingByPool() const;
  /// @return the executors with their use.
  std::vector<ExecutorLoad> ReadExecutors() const;
  /// @return requests that are running.
  size_t running() const { return m_running.size(); }

 private:
  struct Queued {
    Request request;
    int attempts = 0;
    TimePoint expires;
  };
  struct Running {
    Queued queued;
    InstanceId executor;
  };
  struct Executor {
    ExecutorState state;
    int in_use = 0;
  };

  void OnPolicyChanged(const Event& event);
  void OnExecutorsChanged(const Event& event);
  void OnRequestArrived(const Event& event);
  void OnRequestCancelled(const Event& event);
  void OnAttemptEnded(const Event& event);
  void OnTick(const Event& event);

  void ExpireWaiting();
  void StartWaiting();
  Executor* FindExecutor(const PoolName& pool);
  void End(RequestNumber number, Verdict verdict, std::string reason);

  Policy m_policy;
  std::map<InstanceId, Executor> m_executors;
  std::map<QueueName, std::deque<Queued>> m_waiting;
  std::map<RequestNumber, Running> m_running;
  std::vector<Action> m_actions;
  TimePoint m_now{};
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_
