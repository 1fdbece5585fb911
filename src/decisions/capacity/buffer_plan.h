#ifndef CITRONFERRY_DECISIONS_CAPACITY_BUFFER_PLAN_H_
#define CITRONFERRY_DECISIONS_CAPACITY_BUFFER_PLAN_H_

#include <span>
#include <string_view>

#include "base/time.h"

namespace citronferry::capacity {

/// Load of one queue on its pool.
struct QueueDemand {
  double mean_slots = 0;    ///< Slots in use at the mean load.
  double surge_factor = 5;  ///< Ratio of the peak load to the mean load.
  Duration surge_length = 5s;
  Duration wait_limit = 5s;  ///< Longest time that a request may wait for a slot.
  bool urgent = false;       ///< Urgent requests cannot wait for a surge to drain.
};

/// Load and redundancy requirements of a pool.
struct PoolDemand {
  std::span<const QueueDemand> queues;
  int slots_per_instance = 8;
  double target_utilisation = 0.7;  ///< Highest sustained fraction of slots in use.
  int wave_allowance = 0;           ///< Instances that a maintenance wave takes out at a time.
  int failure_reserve = 1;          ///< Instances that may fail without loss of required capacity.
};

/// Number of instances that a pool needs, by purpose.
struct BufferPlan {
  int for_mean = 0;     ///< Instances for the mean load.
  int for_surge = 0;    ///< Additional instances to drain a surge within the wait limits.
  int for_outages = 0;  ///< Additional instances for maintenance waves and failures.

  int total() const { return for_mean + for_surge + for_outages; }
  /// @return the spare instances for surges, maintenance waves and failures.
  int buffer() const { return for_surge + for_outages; }
};

/// Computes the number of instances for a pool.
using BufferRule = BufferPlan (*)(const PoolDemand& demand);

/// Provides the capacity to drain the largest surge within its wait limit. Assumes that the queues
/// of a pool do not surge at the same time, and covers one surge at a time.
BufferPlan PlanForDrainedSurge(const PoolDemand& demand);

/// Provides the capacity to run the largest surge without waiting. Baseline for comparisons.
BufferPlan PlanForPeak(const PoolDemand& demand);

struct NamedBufferRule {
  std::string_view name;
  BufferRule rule;
};

/// @return all rules with their names.
std::span<const NamedBufferRule> BufferRules();

}  // namespace citronferry::capacity

#endif  // CITRONFERRY_DECISIONS_CAPACITY_BUFFER_PLAN_H_
