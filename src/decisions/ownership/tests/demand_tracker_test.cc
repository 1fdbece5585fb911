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

// Guards against moves for surges, which last seconds and come back all day.
TEST_F(DemandTrackerTest, RepeatedSurgesAreNotSustainedDemand) {
  for (int surge = 0; surge < 60; ++surge) {
    Observe(m_surge, 20s);
    Observe(m_idle, 10s);
    EXPECT_FALSE(m_tracker.HasShortage(m_pool));
    EXPECT_FALSE(m_tracker.HasSlack(m_pool));
  }
}

// Guards against a pool that never gets help, and against help and return at one level.
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

// Guards against counting the time of a pause or an outage as demand.
TEST_F(DemandTrackerTest, GapInSamplesStartsAnew) {
  Observe(m_surge, 2min);
  m_now += 10min;
  Observe(m_surge, 2min);
  EXPECT_FALSE(m_tracker.HasShortage(m_pool));
}

}  // namespace
}  // namespace citronferry::ownership
