#include "decisions/runtimes/distribution.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

namespace citronferry::runtimes {
namespace {

// Width of a bin: 2^(1/4).
constexpr double kBinWidth = 1.19;

// Guards against quantiles that are off by more than a bin once a hundred values are known.
TEST(DistributionTest, ConvergesToTheQuantilesOfItsValues) {
  std::mt19937 random(1);
  std::lognormal_distribution<double> times(std::log(0.8), 0.3);
  Distribution distribution;
  for (int i = 0; i < 2000; ++i) distribution.Add(times(random));
  EXPECT_NEAR(distribution.Quantile(0.5), 0.8, 0.8 * (kBinWidth - 1));
  EXPECT_NEAR(distribution.Quantile(0.9), 0.8 * std::exp(1.28 * 0.3), 0.25);
  EXPECT_NEAR(distribution.Mean(), 0.8 * std::exp(0.045), 0.1);
  EXPECT_LE(distribution.weight(), Distribution::kMaxWeight + 1);
}

// Load pattern: the tasks of an image take four times as long from one second to the next.
// Guards against estimates that keep the old behaviour for longer than fifty tasks.
TEST(DistributionTest, HalfOfTheWeightIsOnTheLastFiftyValues) {
  Distribution distribution;
  for (int i = 0; i < 1000; ++i) distribution.Add(0.5);
  for (int i = 0; i < 60; ++i) distribution.Add(2);
  EXPECT_GT(distribution.Quantile(0.5), 1.6);
  EXPECT_LT(distribution.Quantile(0.3), 0.7);
}

// Load pattern: 3 in 100 tasks take seven times as long.
// Guards against taking a task that has outlasted the ordinary ones for one that is about to end.
TEST(DistributionTest, ATaskBeyondTheOrdinaryTimeIsExpectedToBeALongOne) {
  std::mt19937 random(7);
  Distribution distribution;
  for (int i = 0; i < 500; ++i) distribution.Add(random() % 100 < 3 ? 4.2 : 0.6);
  EXPECT_LT(distribution.Quantile(0.9), 0.8);
  EXPECT_LT(distribution.MeanBeyond(0.1), 1.2);
  EXPECT_NEAR(distribution.MeanBeyond(1), 4.2, 0.8);
  EXPECT_GT(distribution.MeanBeyond(20), 20) << "longer than anything seen";
}

// Guards against a distribution that grows without limit when owners alternate.
TEST(DistributionTest, MergedWeightStaysWithinTheLimit) {
  Distribution first;
  Distribution second;
  for (int i = 0; i < 500; ++i) first.Add(1);
  for (int i = 0; i < 500; ++i) second.Add(4);
  first.Merge(second);
  EXPECT_LE(first.weight(), Distribution::kMaxWeight);
  EXPECT_NEAR(first.Mean(), 2.5, 0.01);
  EXPECT_LT(first.Quantile(0.4), 1.5);
  EXPECT_GT(first.Quantile(0.6), 3);
}

// Guards against values from the store that no distribution can have.
TEST(DistributionTest, ImplausibleContentsAreNotRestored) {
  Distribution distribution;
  for (int i = 0; i < 20; ++i) distribution.Add(0.5 + 0.1 * i);
  const Distribution::Contents contents = distribution.contents();
  const auto restored = Distribution::Restore(contents);
  ASSERT_TRUE(restored);
  EXPECT_NEAR(restored->Mean(), distribution.Mean(), 1e-6);
  EXPECT_NEAR(restored->LogVariance(), distribution.LogVariance(), 1e-6);
  EXPECT_NEAR(restored->Quantile(0.7), distribution.Quantile(0.7), 1e-3);
  Distribution::Contents damaged = contents;
  damaged.bins[3] = -1;
  EXPECT_FALSE(Distribution::Restore(damaged));
  damaged = contents;
  damaged.bins[3] = 1e9F;
  EXPECT_FALSE(Distribution::Restore(damaged));
  damaged = contents;
  damaged.mean = std::numeric_limits<double>::quiet_NaN();
  EXPECT_FALSE(Distribution::Restore(damaged));
  damaged = contents;
  damaged.log_mean = 1e6;
  EXPECT_FALSE(Distribution::Restore(damaged));
}

}  // namespace
}  // namespace citronferry::runtimes
