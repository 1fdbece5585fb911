#include "decisions/capacity/buffer_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace citronferry::capacity {
namespace {

double MeanSlots(const PoolDemand& demand) {
  double total = 0;
  for (const QueueDemand& queue : demand.queues) total += queue.mean_slots;
  return total;
}

int ToInstances(double slots, const PoolDemand& demand) {
  // Compensates for rounding errors in sums such as 0.1 + 0.2.
  constexpr double kTolerance = 1e-9;
  return static_cast<int>(std::ceil(slots / demand.slots_per_instance - kTolerance));
}

double SurgeSlotsDrained(const QueueDemand& queue) {
  const double peak = queue.mean_slots * queue.surge_factor;
  if (queue.urgent) return peak;
  const double surge = ToSeconds(queue.surge_length);
  return peak * surge / (surge + ToSeconds(queue.wait_limit));
}

double SurgeSlotsAtPeak(const QueueDemand& queue) { return queue.mean_slots * queue.surge_factor; }

BufferPlan Plan(const PoolDemand& demand, double (*surge_slots)(const QueueDemand&)) {
  const double mean = MeanSlots(demand);
  double surge = 0;
  for (const QueueDemand& queue : demand.queues) {
    surge = std::max(surge, mean - queue.mean_slots + surge_slots(queue));
  }
  BufferPlan plan;
  plan.for_mean = ToInstances(mean, demand);
  const int sustained = ToInstances(mean / demand.target_utilisation, demand);
  const int needed = std::max(sustained, ToInstances(surge, demand));
  plan.for_surge = std::max(0, needed - plan.for_mean);
  plan.for_outages = demand.wave_allowance + demand.failure_reserve;
  return plan;
}

}  // namespace

BufferPlan PlanForDrainedSurge(const PoolDemand& demand) {
  return Plan(demand, &SurgeSlotsDrained);
}

BufferPlan PlanForPeak(const PoolDemand& demand) { return Plan(demand, &SurgeSlotsAtPeak); }

std::span<const NamedBufferRule> BufferRules() {
  static constexpr std::array<NamedBufferRule, 2> kRules{
      {{"drained_surge", &PlanForDrainedSurge}, {"peak", &PlanForPeak}}};
  return kRules;
}

}  // namespace citronferry::capacity
