#include "decisions/dispatch/internal/fair_share.h"

#include <gtest/gtest.h>

#include <array>

namespace citronferry::dispatch {
namespace {

// Guards against shares that ignore the weights of the flows or the slot time of the requests.
TEST(FairShareTest, ContendedCapacityIsDividedByWeightInSlotTime) {
  FairShare share;
  const std::array<double, 2> costs{4, 1};
  share.SetWeight(1, 3);
  share.Activate(0);
  share.Activate(1);
  std::array<double, 2> used{};
  for (int i = 0; i < 1000; ++i) {
    const FairShare::Flow flow = share.Next();
    used[flow] += costs[flow];
    share.Charge(flow, costs[flow]);
  }
  EXPECT_NEAR(used[1] / used[0], 3, 0.1);
}

// Guards against a flow that is served less than its share later, because it used capacity while
// the other flows were idle.
TEST(FairShareTest, BorrowingIdleCapacityIsFree) {
  FairShare share;
  share.Activate(0);
  for (int i = 0; i < 1000; ++i) share.Charge(0, 1);
  share.Activate(1);
  std::array<int, 2> served{};
  for (int i = 0; i < 100; ++i) {
    const FairShare::Flow flow = share.Next();
    ++served[flow];
    share.Charge(flow, 1);
  }
  EXPECT_NEAR(served[0], 50, 1);
}

}  // namespace
}  // namespace citronferry::dispatch
