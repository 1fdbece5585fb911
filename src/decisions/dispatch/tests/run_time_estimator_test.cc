#include "decisions/dispatch/internal/run_time_estimator.h"

#include <gtest/gtest.h>

namespace citronferry::dispatch {
namespace {

constexpr TimePoint kNow{1s};

void Observe(RunTimeEstimator& estimator, int count, Duration run_time) {
  for (int i = 0; i < count; ++i) estimator.Observe(run_time, kNow);
}

// Guards against outliers in either direction that shift the estimate.
TEST(RunTimeEstimatorTest, OutliersDoNotMoveTheEstimate) {
  RunTimeEstimator estimator;
  Observe(estimator, 60, 100ms);
  Observe(estimator, 2, 1h);
  Observe(estimator, 2, 1ms);
  EXPECT_LE(estimator.Typical(60s), 100ms);
  EXPECT_GE(estimator.Typical(60s), 70ms);
  EXPECT_GE(estimator.Optimistic(kNow), 70ms);
}

// Guards against keeping a declared run time that is far too long or too short.
TEST(RunTimeEstimatorTest, ObservationsReplaceTheDeclaredRunTime) {
  for (const Duration actual : {Duration(10ms), Duration(100s)}) {
    RunTimeEstimator estimator;
    EXPECT_EQ(estimator.Typical(1s), 1s);
    Observe(estimator, 8, actual);
    EXPECT_LE(estimator.Typical(1s), actual);
    EXPECT_GE(estimator.Typical(1s), actual * 7 / 10);
  }
}

// Guards against an optimistic run time that never expires. Requests refused because of it produce
// no new observations, so they would be refused forever. Attempts without an answer must not
// contribute to it either.
TEST(RunTimeEstimatorTest, OptimisticRunTimeNeedsRecentAnswers) {
  RunTimeEstimator estimator;
  for (int i = 0; i < 64; ++i) estimator.ObserveAtLeast(30s);
  EXPECT_EQ(estimator.Optimistic(kNow), 0s);
  EXPECT_GE(estimator.Typical(1s), 20s);
  Observe(estimator, 64, 10s);
  EXPECT_GT(estimator.Optimistic(kNow), 0s);
  EXPECT_EQ(estimator.Optimistic(kNow + 1min), 0s);
}

}  // namespace
}  // namespace citronferry::dispatch
