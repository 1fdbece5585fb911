#include "decisions/ownership/demand_tracker.h"

#include <gtest/gtest.h>

namespace citronferry::ownership {
namespace {

class DemandTrackerTest : public ::testing::Test {
 protected:
  void Observe(DemandSample sample, Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end; m_now += 1s) {
      m_tracker.Observe({{m_pool, sample}}, m_now);
    }
  }

  const PoolName m_pool{"billing"};
  const DemandSample m_surge{.waiting = 40, .free_slots = 0, .slots = 8};
  const DemandSample m_idle{.waiting = 0, .free_slots = 7, .slots = 8};
  TimePoint m_now{1h};
  DemandTracker m_tracker;
};

// Guards against moves for surges: each lasts only seconds, but they recur all day.
TEST_F(DemandTrackerTest, RepeatedSurgesAreNotSustainedDemand) {
  for (int surge = 0; surge < 60; ++surge) {
    Observe(m_surge, 20s);
    Observe(m_idle, 10s);
    EXPECT_FALSE(m_tracker.HasShortage(m_pool));
    EXPECT_FALSE(m_tracker.HasSlack(m_pool));
  }
}

// Guards against a sustained shortage that is not detected, and against a borrowed instance that is
// returned as soon as the pool could give instances away, so that it moves back and forth.
TEST_F(DemandTrackerTest, SustainedDemandAndSlackAreFoundWithHysteresis) {
  Observe(m_surge, 6min);
  EXPECT_TRUE(m_tracker.HasShortage(m_pool));
  Observe(m_idle, 11min);
  EXPECT_FALSE(m_tracker.HasShortage(m_pool));
  EXPECT_TRUE(m_tracker.HasSlack(m_pool));
  EXPECT_FALSE(m_tracker.CanReturn(m_pool));
  Observe(m_idle, 20min);
  EXPECT_TRUE(m_tracker.CanReturn(m_pool));
}

// Guards against counting the time between two samples as demand when a pause or an outage lies
// between them.
TEST_F(DemandTrackerTest, GapInSamplesStartsAnew) {
  Observe(m_surge, 2min);
  m_now += 10min;
  Observe(m_surge, 2min);
  EXPECT_FALSE(m_tracker.HasShortage(m_pool));
}

}  // namespace
}  // namespace citronferry::ownership
