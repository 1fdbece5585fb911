#include "decisions/runtimes/run_times.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace citronferry::runtimes {
namespace {

TaskKind Kind(std::string_view image, Duration declared, int64_t cpu = 1000) {
  return {.queue = "queue", .image = image, .cpu_millicores = cpu, .declared = declared};
}

class RunTimesTest : public ::testing::Test {
 protected:
  void Learn(const TaskKind& kind, Duration took, std::string_view executor = "x0") {
    m_now += 10ms;
    m_job = "job" + std::to_string(++m_number);
    m_times.Learn({.kind = kind, .took = took, .executor = executor, .rack = "r", .job = m_job},
                  m_now);
  }

  RunTimes m_times;
  TimePoint m_now{1s};
  std::string m_job;
  int m_number = 0;
};

// Guards against an estimate that differs from the declared time before anything has run.
TEST_F(RunTimesTest, DeclaredTimeIsExpectedBeforeAnyRun) {
  const Prediction prediction = m_times.Predict(Kind("a", 2s));
  EXPECT_EQ(prediction.Mean(), 2s);
  EXPECT_GT(prediction.Quantile(0.9), 3s) << "declared times are rough";
  EXPECT_EQ(prediction.MeanRemaining(500ms), 1500ms);
}

// Guards against declared times that are never corrected, and against intervals that stay as wide
// as at the beginning.
TEST_F(RunTimesTest, EstimatesConvergeAndBecomeMoreCertain) {
  std::mt19937 random(5);
  std::lognormal_distribution<double> times(std::log(0.6), 0.2);
  double uncertainty = 1;
  for (const int runs : {4, 20, 200}) {
    for (int i = 0; i < runs; ++i) Learn(Kind("a", 2s), FromSeconds(times(random)));
    const Prediction prediction = m_times.Predict(Kind("a", 2s));
    EXPECT_LT(prediction.uncertainty(), uncertainty) << runs;
    uncertainty = prediction.uncertainty();
  }
  EXPECT_NEAR(ToSeconds(m_times.Predict(Kind("a", 2s)).Mean()), 0.6, 0.06);
  EXPECT_NEAR(ToSeconds(m_times.Predict(Kind("a", 2s)).Quantile(0.5)), 0.6, 0.09);
}

// Guards against an image without runs that is taken at its declared time while all declared times
// of the queue are four times too long.
TEST_F(RunTimesTest, UnknownImageIsCorrectedByTheRatioOfItsQueue) {
  for (int i = 0; i < 30; ++i) Learn(Kind("a", 2s), 500ms);
  EXPECT_NEAR(ToSeconds(m_times.Predict(Kind("b", 4s, 64000)).Mean()), 1, 0.1);
}

// Guards against an image without runs that is not compared with tasks of its size.
TEST_F(RunTimesTest, UnknownImageIsLikeOthersOfItsSize) {
  for (int i = 0; i < 60; ++i) {
    Learn(Kind("small", i % 2 == 0 ? 8s : 100ms, 500), 300ms);
    Learn(Kind("large", i % 2 == 0 ? 8s : 100ms, 8000), 3s);
  }
  EXPECT_NEAR(ToSeconds(m_times.Predict(Kind("b", 1s, 500)).Mean()), 0.3, 0.1);
  EXPECT_NEAR(ToSeconds(m_times.Predict(Kind("b", 1s, 8000)).Mean()), 3, 0.6);
}

// Few runs: the declared time counts, the less the more it was off in this queue.
TEST_F(RunTimesTest, DeclaredTimeCountsLessTheMoreItWasOff) {
  RunTimes accurate;
  RunTimes rough;
  for (int i = 0; i < 60; ++i) {
    const TaskKind known = Kind("known", 1s, 4000);
    const FinishedRun exact{.kind = known, .took = 1s, .executor = "x", .rack = "r", .job = "j"};
    accurate.Learn(exact, TimePoint(1s));
    FinishedRun off = exact;
    off.took = i % 2 == 0 ? 200ms : 5s;
    rough.Learn(off, TimePoint(1s));
  }
  for (int i = 0; i < 3; ++i) {
    const FinishedRun run{
        .kind = Kind("new", 1s), .took = 3s, .executor = "x", .rack = "r", .job = "j"};
    accurate.Learn(run, TimePoint(1s));
    rough.Learn(run, TimePoint(1s));
  }
  EXPECT_LT(accurate.Predict(Kind("new", 1s)).Mean(), rough.Predict(Kind("new", 1s)).Mean());
  EXPECT_GT(rough.Predict(Kind("new", 1s)).Mean(), 2s);
}

// Load pattern: an image whose tasks differ in size, with accurate declared times.
// Guards against one distribution for all of them.
TEST_F(RunTimesTest, AccurateDeclaredTimesTellTheTasksOfAnImageApart) {
  std::mt19937 random(3);
  for (int i = 0; i < 100; ++i) {
    const auto declared = FromSeconds(0.2 * std::exp2(static_cast<double>(random() % 6)));
    Learn(Kind("a", declared), FromSeconds(ToSeconds(declared) * 1.5));
  }
  EXPECT_NEAR(ToSeconds(m_times.Predict(Kind("a", 400ms)).Mean()), 0.6, 0.1);
  EXPECT_NEAR(ToSeconds(m_times.Predict(Kind("a", 6400ms)).Mean()), 9.6, 1.5);
}

// Load pattern: behaviour changes within seconds; a pool ends some hundred tasks in a second.
// Guards against estimates that follow only after minutes.
TEST_F(RunTimesTest, ChangeOfBehaviourIsFollowedWithinAHundredRuns) {
  for (int i = 0; i < 500; ++i) Learn(Kind("a", 1s), 500ms);
  for (int i = 0; i < 100; ++i) Learn(Kind("a", 1s), 3s);
  EXPECT_GT(m_times.Predict(Kind("a", 1s)).Quantile(0.5), 2400ms);
}

// Load pattern: one of eight executors takes three times as long.
// Guards against a slow executor whose run times are learned as those of the pool.
TEST_F(RunTimesTest, SlowExecutorDoesNotChangeTheDistributionOfThePool) {
  static constexpr std::string_view kNames[] = {"x0", "x1", "x2", "x3", "x4", "x5", "x6", "x7"};
  std::mt19937 random(9);
  std::lognormal_distribution<double> times(std::log(0.6), 0.2);
  for (int round = 0; round < 60; ++round) {
    for (const std::string_view name : kNames) {
      Learn(Kind("a", 1s), FromSeconds(times(random) * (name == "x3" ? 3 : 1)), name);
    }
  }
  EXPECT_GT(m_times.executors().SlownessOf("x3", "r"), 2);
  EXPECT_EQ(m_times.executors().slow_executors(), 1u);
  // With the factor left in, more than a tenth of the runs would take 1.8 s.
  EXPECT_LT(m_times.Predict(Kind("a", 1s)).Quantile(0.95), 1200ms);
}

// Guards against memory that grows with the number of images.
TEST_F(RunTimesTest, LeastRecentlyUsedKeysAreDropped) {
  for (int i = 0; i < 1000; ++i) {
    const std::string image = "image" + std::to_string(i);
    Learn(Kind(image, 1s), 500ms);
    Learn(Kind("kept", 1s), 3s);
  }
  EXPECT_LE(m_times.size(), RunTimes::kMaxKeys);
  EXPECT_GT(m_times.Predict(Kind("kept", 1s)).Mean(), 2500ms);
  const std::string long_name(RunTimes::kMaxNameLength + 1, 'i');
  const int64_t before = m_times.learned_runs();
  Learn(Kind(long_name, 1s), 500ms);
  EXPECT_EQ(m_times.learned_runs(), before + 1);
  EXPECT_LE(m_times.size(), RunTimes::kMaxKeys);
}

// Guards against a successor that starts from declared times, and against one that drops what it
// has learned itself.
TEST_F(RunTimesTest, MergedStateKeepsBothSides) {
  for (int i = 0; i < 50; ++i) Learn(Kind("a", 1s), 3s);
  RunTimes successor;
  for (int i = 0; i < 50; ++i) {
    successor.Learn(
        {.kind = Kind("b", 1s), .took = 200ms, .executor = "x", .rack = "r", .job = "j"}, m_now);
  }
  successor.Merge(m_times.state(), m_now);
  EXPECT_NEAR(ToSeconds(successor.Predict(Kind("a", 1s)).Mean()), 3, 0.2);
  EXPECT_NEAR(ToSeconds(successor.Predict(Kind("b", 1s)).Mean()), 0.2, 0.05);
}

}  // namespace
}  // namespace citronferry::runtimes
