#include "decisions/scheduling/plan_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace citronferry::scheduling {
namespace {

constexpr Duration kMinInterval = 8ms;

/// Simulated owner of a pool that handles one event at a time: reports, of which each calls for a
/// plan, and responses of the feed of the jobs.
class BusyOwner {
 public:
  explicit BusyOwner(Duration plan) : m_plan(plan) {}

  static constexpr Duration kReport = std::chrono::microseconds(300);
  static constexpr Duration kReportInterval = 1ms;
  static constexpr Duration kFeedResponse = 1ms;
  static constexpr Duration kFeedPause = 10ms;

  /// @return the longest time between two responses of the feed that were handled.
  Duration LongestFeedGap(Duration duration) {
    const TimePoint end = m_now + duration;
    TimePoint next_report = m_now;
    TimePoint handled_at = m_now;
    Duration longest{};
    while (m_now < end) {
      // A turn of the event loop handles all that is there at its beginning.
      int reports = 0;
      for (; next_report <= m_now; next_report += kReportInterval) ++reports;
      const bool response = m_now - handled_at >= kFeedPause;
      for (; reports > 0; --reports) {
        m_now += kReport;
        PlanIfDue();
      }
      if (response) {
        m_now += kFeedResponse;
        longest = std::max(longest, m_now - handled_at);
        handled_at = m_now;
      }
      m_now = std::max(m_now, std::min(next_report, handled_at + kFeedPause));
    }
    return longest;
  }

  Duration planned() const { return m_planned; }

 private:
  void PlanIfDue() {
    if (m_pacer.TimeUntilNext(m_now) > Duration::zero()) return;
    const TimePoint began = m_now;
    m_now += m_plan;
    m_planned += m_plan;
    m_pacer.OnPlanned(began, m_now);
  }

  Duration m_plan;
  TimePoint m_now{1s};
  Duration m_planned{};
  PlanPacer m_pacer{kMinInterval};
};

// Load pattern: a burst leaves a thousand jobs waiting, so that a plan takes 10 ms, while reports
// arrive each millisecond. Guards against an owner that does hardly anything but plan: it reads the
// cancellations of jobs seconds late and starts their tasks meanwhile.
TEST(PlanPacerTest, JobsAreReadInTimeWhenPlansAreLong) {
  BusyOwner owner(10ms);
  EXPECT_LT(owner.LongestFeedGap(20s), 200ms);
  EXPECT_LE(ToSeconds(owner.planned()), 20 * PlanPacer::kShare * 1.05);
}

// Guards against plans that are delayed in a small pool, where they take hardly any time.
TEST(PlanPacerTest, ShortPlansFollowAfterTheMinimumInterval) {
  PlanPacer pacer(kMinInterval);
  const TimePoint began{1s};
  EXPECT_LE(pacer.TimeUntilNext(began), Duration::zero());
  pacer.OnPlanned(began, began + 1ms);
  EXPECT_EQ(pacer.TimeUntilNext(began + 1ms), kMinInterval - 1ms);
}

// Guards against a pool that is not planned for seconds after its owner was suspended in a plan.
TEST(PlanPacerTest, SuspensionInAPlanDelaysTheNextOneByABoundedTime) {
  PlanPacer pacer(kMinInterval);
  const TimePoint began{1s};
  pacer.OnPlanned(began, began + 4s);
  EXPECT_LE(pacer.TimeUntilNext(began + 4s), Duration::zero());
  pacer.OnPlanned(began, began + 200ms);
  EXPECT_EQ(pacer.TimeUntilNext(began + 200ms), PlanPacer::kMaxInterval - 200ms);
}

}  // namespace
}  // namespace citronferry::scheduling
