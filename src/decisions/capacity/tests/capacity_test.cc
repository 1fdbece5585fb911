#include <gtest/gtest.h>

#include <array>

#include "decisions/capacity/buffer_plan.h"
#include "decisions/capacity/rollout_estimate.h"

namespace citronferry::capacity {
namespace {

// Guards against a buffer that can not drain a surge within the wait limit: the work of the surge
// must fit into the surge and the wait.
TEST(BufferPlanTest, DrainedSurgeFitsIntoTheWaitLimit) {
  for (const double mean : {3.0, 16.0, 20.0, 47.0}) {
    const std::array<QueueDemand, 1> queues{
        {{.mean_slots = mean, .surge_length = 5s, .wait_limit = 3s}}};
    const BufferPlan plan = PlanForDrainedSurge({.queues = queues});
    const double capacity = 8.0 * (plan.for_mean + plan.for_surge);
    EXPECT_GE(capacity * 8 + 1e-6, mean * 5 * 5) << mean;
  }
}

// Guards against a buffer that is larger than the plain rule's.
TEST(BufferPlanTest, DrainedSurgeNeedsNoMoreThanThePeak) {
  const std::array<QueueDemand, 2> queues{{{.mean_slots = 20}, {.mean_slots = 10}}};
  EXPECT_LT(PlanForDrainedSurge({.queues = queues}).total(),
            PlanForPeak({.queues = queues}).total());
}

// Guards against urgent work that waits for a surge to drain.
TEST(BufferPlanTest, UrgentWorkIsCoveredAtItsPeak) {
  const std::array<QueueDemand, 1> queues{{{.mean_slots = 8, .urgent = true}}};
  EXPECT_EQ(PlanForDrainedSurge({.queues = queues}).total(),
            PlanForPeak({.queues = queues}).total());
}

// Guards against a wave that is planned beyond the budget or never ends.
TEST(RolloutEstimateTest, BoundFollowsTheBudget) {
  EXPECT_EQ(MinPoolDuration({.instances = 12, .max_unavailable = 4, .reserve = 1}, 10min), 40min);
  EXPECT_EQ(MinPoolDuration({.instances = 12, .max_unavailable = 1, .reserve = 1}, 10min),
            std::nullopt);
  EXPECT_EQ(AllowedUnavailable({.max_unavailable = 4, .reserve = 1, .unplanned_down = 5}), 0);
}

}  // namespace
}  // namespace citronferry::capacity
