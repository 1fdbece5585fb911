#ifndef CITRONFERRY_DECISIONS_CAPACITY_BUFFER_PLAN_H_
#define CITRONFERRY_DECISIONS_CAPACITY_BUFFER_PLAN_H_

#include <span>
#include <string_view>

#include "base/time.h"

namespace citronferry::capacity {

/// Load that one queue puts on its pool.
struct QueueDemand {
  double mean_slots = 0;    ///< Slots in use at the mean load.
  double surge_factor = 5;  ///< Peak load over mean load.
  Duration surge_length = 5s;
  Duration wait_limit = 5s;  ///< Longest time that work may wait for a slot.
  bool urgent = false;       ///< Urgent work can not wait for a surge to drain.
};

/// What a pool has to carry.
struct PoolDemand {
  std::span<const QueueDemand> queues;
  int slots_per_instance = 8;
  double target_utilisation = 0.7;  ///< Highest sustained use of the slots.
  int wave_allowance = 0;           ///< Instances that a wave takes out at a time.
  int failure_reserve = 1;          ///< Instances that may fail without effect.
};

/// Instances that a pool needs, and what each part of them is for.
struct BufferPlan {
  int for_mean = 0;     ///< Carries the mean load.
  int for_surge = 0;    ///< More, to drain a surge within the wait limits.
  int for_outages = 0;  ///< More, for the wave and for failures.

  int total() const { return for_mean + for_surge + for_outages; }
  /// @return the spare capacity held against surges, waves and failures, in instances.
  int buffer() const { return for_surge + for_outages; }
};

/// A rule for the size of the buffer.
using BufferRule = BufferPlan (*)(const PoolDemand& demand);

/// Holds the capacity that drains the largest surge within its wait limit. The queues of a pool
/// surge in turn, so one surge at a time is covered.
BufferPlan PlanForDrainedSurge(const PoolDemand& demand);

/// Holds the capacity that runs the largest surge without any wait. Kept as the baseline.
BufferPlan PlanForPeak(const PoolDemand& demand);

struct NamedBufferRule {
  std::string_view name;
  BufferRule rule;
};

/// @return all rules, by name.
std::span<const NamedBufferRule> BufferRules();

}  // namespace citronferry::capacity

#endif  // CITRONFERRY_DECISIONS_CAPACITY_BUFFER_PLAN_H_
