#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_STATE_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_STATE_H_

#include <array>
#include <set>
#include <vector>

#include "decisions/dispatch/internal/executor_set.h"
#include "decisions/dispatch/internal/priority_class_queue.h"
#include "decisions/dispatch/internal/priority_scheduler.h"
#include "decisions/dispatch/internal/retry_budget.h"
#include "decisions/dispatch/internal/run_time_estimator.h"

namespace citronferry::dispatch {

/// Priority class of a pool in which a team at its limit is held.
struct HeldClass {
  PoolState* pool = nullptr;
  Priority priority = Priority::kInteractive;
};

/// State of a team. Kept after it has left the policy, because running requests refer to it.
struct TeamState {
  uint32_t index = 0;
  double weight = 1;
  size_t max_in_flight = 0;             ///< 0 sets no limit.
  size_t running = 0;                   ///< Attempts in flight.
  bool declared = false;                ///< The current policy contains the team.
  std::set<QueueName> queues;           ///< Empty allows every queue.
  std::vector<HeldClass> held_classes;  ///< In the order in which they were held.
  RecordList held_retries;              ///< Retries that wait until the team is below its limit.

  bool IsAtLimit() const { return max_in_flight > 0 && running >= max_in_flight; }
  bool MayUse(const QueueName& queue) const { return queues.empty() || queues.contains(queue); }
};

/// State of a pool and the requests that wait for it.
struct PoolState {
  PoolPolicy policy;
  std::array<PriorityClassQueue, kPriorityCount> classes;
  PriorityScheduler scheduler;
  RecordList retries;
  RetryBudget retry_budget;
  ExecutorSet executors;
  size_t waiting = 0;  ///< Requests that wait, retries included.
  bool dirty = false;  ///< A waiting request may be able to start.
};

/// State of a queue. Kept after it has left the policy, because running requests refer to it.
struct QueueState {
  uint32_t index = 0;
  QueueName name;
  QueuePolicy policy;
  PoolState* pool = nullptr;
  bool declared = false;  ///< The current policy contains the queue.
  size_t waiting = 0;     ///< Requests that wait, retries included.
  RunTimeEstimator run_times;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_STATE_H_
