#ifndef CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_
#define CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_

#include <map>
#include <memory>
#include <vector>

#include "decisions/dispatch/types.h"

namespace citronferry::dispatch {

class Engine;

/// Schedules the requests of one entry: admits or refuses them, queues them by pool, priority and
/// team, assigns them to executors and retries them. Deterministic: it keeps state, but reads no
/// clock and does no I/O.
class Dispatcher {
 public:
  Dispatcher();
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// @param event event to process.
  /// @param now time of the event; must not go backwards.
  /// @return the actions that the caller has to execute, in this order.
  std::vector<Action> Handle(const Event& event, TimePoint now);

  /// @return the number of requests that wait for a slot.
  size_t queued() const;
  /// @return the number of requests that wait for a slot, by pool.
  std::map<PoolName, size_t> WaitingByPool() const;
  /// @return the executors with the slots that this entry uses.
  std::vector<ExecutorLoad> ReadExecutors() const;
  /// @return the queues of the policy with their load and estimated run times.
  std::vector<QueueLoad> ReadQueues() const;
  /// @return the number of requests that are running.
  size_t running() const;

 private:
  std::unique_ptr<Engine> m_engine;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_
