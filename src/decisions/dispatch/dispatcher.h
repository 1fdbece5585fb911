#ifndef CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_
#define CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_

#include <map>
#include <memory>
#include <vector>

#include "decisions/dispatch/types.h"

namespace citronferry::dispatch {

class Engine;

/// Decides which request runs where and when, for one entry. Pure: it keeps state, but reads no
/// clock and does no I/O.
class Dispatcher {
 public:
  Dispatcher();
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// @param now time of the event; must not go backwards.
  /// @return what the caller has to do, in this order.
  std::vector<Action> Handle(const Event& event, TimePoint now);

  /// @return requests that wait for a slot.
  size_t queued() const;
  /// @return requests that wait for a slot, by pool.
  std::map<PoolName, size_t> WaitingByPool() const;
  /// @return the executors with their use.
  std::vector<ExecutorLoad> ReadExecutors() const;
  /// @return the queues with their load and learned run times.
  std::vector<QueueLoad> ReadQueues() const;
  /// @return requests that are running.
  size_t running() const;

 private:
  std::unique_ptr<Engine> m_engine;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_DISPATCHER_H_
