#include "decisions/runtimes/executor_speeds.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <random>
#include <string>

namespace citronferry::runtimes {
namespace {

constexpr int kExecutors = 16;
constexpr int kRackSize = 8;

std::string ExecutorName(int number) { return "x" + std::to_string(number); }
std::string RackName(int number) { return "r" + std::to_string(number / kRackSize); }

// Sixteen executors in two racks whose tasks vary by a third, and 3 in 100 of which take seven
// times as long.
class Pool {
 public:
  explicit Pool(uint32_t seed) : m_random(seed) {}

  // Each executor runs a task of its own job.
  void Round() {
    for (int i = 0; i < kExecutors; ++i) {
      m_now += 10ms;
      const double tail = m_random() % 100 < 3 ? std::log(7.0) : 0;
      const double factor = slowness ? std::log(slowness(i)) : 0;
      speeds.Observe(ExecutorName(i), RackName(i), ++m_job, m_noise(m_random) + tail + factor,
                     m_now);
    }
  }
  void Rounds(int count) {
    for (int i = 0; i < count; ++i) Round();
  }
  bool IsSlow(int number) const {
    return speeds.SlownessOf(ExecutorName(number), RackName(number)) > 1;
  }
  TimePoint now() const { return m_now; }

  ExecutorSpeeds speeds;
  std::function<double(int)> slowness;

 private:
  std::mt19937 m_random;
  std::normal_distribution<double> m_noise{0, 0.3};
  TimePoint m_now{1s};
  uint64_t m_job = 0;
};

// Load pattern: a heavy tail. Guards against blaming executors for the tasks that they happen to
// get: hardly any of them may be judged slow at any time.
TEST(ExecutorSpeedsTest, HeavyTailMakesNoExecutorSlow) {
  int judged_slow = 0;
  int judged = 0;
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    Pool pool(seed);
    for (int round = 0; round < 100; ++round) {
      pool.Round();
      for (int i = 0; i < kExecutors; ++i) judged_slow += pool.IsSlow(i) ? 1 : 0;
      judged += kExecutors;
    }
  }
  EXPECT_LE(judged_slow, judged / 200);
}

// Load pattern: one executor takes twice as long.
// Guards against an executor that stays undetected, and against one that stays slow after it has
// recovered.
TEST(ExecutorSpeedsTest, SlowExecutorIsDetectedAndRecovers) {
  Pool pool(3);
  pool.slowness = [](int number) { return number == 5 ? 2.0 : 1.0; };
  pool.Rounds(25);
  EXPECT_TRUE(pool.IsSlow(5));
  EXPECT_EQ(pool.speeds.slow_executors(), 1u);
  EXPECT_EQ(pool.speeds.slow_racks(), 0u);
  EXPECT_NEAR(pool.speeds.SlownessOf("x5", "r0"), 2, 0.5);
  pool.slowness = nullptr;
  pool.Rounds(60);
  EXPECT_FALSE(pool.IsSlow(5));
}

// Guards against an executor that is never used again because it is not used.
TEST(ExecutorSpeedsTest, EvidenceFadesWithoutRuns) {
  Pool pool(3);
  pool.slowness = [](int number) { return number == 5 ? 3.0 : 1.0; };
  pool.Rounds(25);
  ASSERT_TRUE(pool.IsSlow(5));
  pool.speeds.Judge(pool.now() + 5min);
  EXPECT_FALSE(pool.IsSlow(5));
}

// Load pattern: a whole rack is slow, one member of which has run nothing yet.
// Guards against judging each member only after its own runs.
TEST(ExecutorSpeedsTest, RackWhoseMembersAreSlowTogetherIsSlow) {
  Pool pool(11);
  pool.slowness = [](int number) { return number < 6 ? 2.2 : 1.0; };
  pool.Rounds(30);
  EXPECT_EQ(pool.speeds.slow_racks(), 1u);
  EXPECT_GT(pool.speeds.SlownessOf("new", "r0"), 1.5);
  EXPECT_EQ(pool.speeds.SlownessOf("new", "r1"), 1);
}

// Load pattern: a job whose tasks all take four times the time that was learned for their image.
// Guards against blaming the executor that runs all of them.
TEST(ExecutorSpeedsTest, OneJobIsNoEvidence) {
  ExecutorSpeeds speeds;
  TimePoint now{1s};
  for (uint64_t job = 1000; job < 1040; ++job) {
    now += 100ms;
    for (int other = 1; other < 4; ++other) {
      speeds.Observe(ExecutorName(other), "r", job, 0, now);
    }
    speeds.Observe(ExecutorName(0), "r", 7, std::log(4.0), now);
  }
  EXPECT_EQ(speeds.SlownessOf(ExecutorName(0), "r"), 1);
}

// Guards against an executor id that keeps the evidence of its previous instance.
TEST(ExecutorSpeedsTest, ForgottenExecutorIsNotSlow) {
  Pool pool(3);
  pool.slowness = [](int number) { return number == 5 ? 3.0 : 1.0; };
  pool.Rounds(25);
  ASSERT_TRUE(pool.IsSlow(5));
  pool.speeds.Forget("x5");
  EXPECT_FALSE(pool.IsSlow(5));
  EXPECT_FALSE(pool.speeds.any_slow());
}

// Guards against a change of owners after which slow executors have to be found again.
TEST(ExecutorSpeedsTest, RecordsKeepTheJudgement) {
  Pool pool(3);
  pool.slowness = [](int number) { return number == 5 ? 2.0 : 1.0; };
  pool.Rounds(25);
  ASSERT_TRUE(pool.IsSlow(5));
  ExecutorSpeeds successor;
  for (const auto& record : pool.speeds.records()) successor.Restore(record, TimePoint(9s));
  successor.Judge(TimePoint(9s));
  EXPECT_GT(successor.SlownessOf("x5", "r0"), 1.5);
  EXPECT_EQ(successor.slow_executors(), 1u);
}

}  // namespace
}  // namespace citronferry::runtimes
