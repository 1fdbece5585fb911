#include <gtest/gtest.h>

#include <array>

#include "decisions/capacity/buffer_plan.h"
#include "decisions/capacity/rollout_estimate.h"

namespace citronferry::capacity {
namespace {

// Guards against a buffer that is too small to drain a surge within the wait limit. The slot time
// available during the surge (5 s) and the wait limit (3 s) has to cover the work of the surge.
TEST(BufferPlanTest, DrainedSurgeFitsIntoTheWaitLimit) {
  for (const double mean : {3.0, 16.0, 20.0, 47.0}) {
    const std::array<QueueDemand, 1> queues{
        {{.mean_slots = mean, .surge_length = 5s, .wait_limit = 3s}}};
    const BufferPlan plan = PlanForDrainedSurge({.queues = queues});
    const double capacity = 8.0 * (plan.for_mean + plan.for_surge);
    EXPECT_GE(capacity * 8 + 1e-6, mean * 5 * 5) << mean;
  }
}

// Guards against a drained-surge rule that saves no instances over provisioning for the peak.
TEST(BufferPlanTest, DrainedSurgeNeedsNoMoreThanThePeak) {
  const std::array<QueueDemand, 2> queues{{{.mean_slots = 20}, {.mean_slots = 10}}};
  EXPECT_LT(PlanForDrainedSurge({.queues = queues}).total(),
            PlanForPeak({.queues = queues}).total());
}

// Guards against a plan in which urgent requests have to wait for a surge to drain: an urgent queue
// needs the capacity of its peak.
TEST(BufferPlanTest, UrgentWorkIsCoveredAtItsPeak) {
  const std::array<QueueDemand, 1> queues{{{.mean_slots = 8, .urgent = true}}};
  EXPECT_EQ(PlanForDrainedSurge({.queues = queues}).total(),
            PlanForPeak({.queues = queues}).total());
}

// Guards against a wave that takes out more instances than max_unavailable less the reserve and the
// unplanned outages allow, and against a finite estimate for a wave that cannot proceed.
TEST(RolloutEstimateTest, BoundFollowsTheBudget) {
  EXPECT_EQ(MinPoolDuration({.instances = 12, .max_unavailable = 4, .reserve = 1}, 10min), 40min);
  EXPECT_EQ(MinPoolDuration({.instances = 12, .max_unavailable = 1, .reserve = 1}, 10min),
            std::nullopt);
  EXPECT_EQ(AllowedUnavailable({.max_unavailable = 4, .reserve = 1, .unplanned_down = 5}), 0);
}

}  // namespace
}  // namespace citronferry::capacity
