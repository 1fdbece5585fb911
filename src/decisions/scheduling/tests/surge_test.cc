// Tests scheduling, moves and maintenance under the load patterns that they are designed for.
#include <gtest/gtest.h>

#include "decisions/scheduling/drain_planner.h"
#include "decisions/scheduling/move_planner.h"
#include "decisions/scheduling/surge_forecast.h"
#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

// Load pattern: four seconds at over twice the pool's capacity, then a trough.
// Guards against serving jobs in the order of arrival, which makes nearly all jobs of a surge late.
TEST(SurgeTest, MostJobsOfASurgeAreStillInTime) {
  FakePool pool(4);  // 64 cores.
  std::vector<std::pair<JobId, TimePoint>> submitted;
  std::map<JobId, Duration> took;
  const auto note_final = [&] {
    for (const auto& [job, at] : submitted) {
      if (!took.contains(job) && IsFinal(pool.State(job))) took[job] = pool.now() - at;
    }
  };
  int number = 0;
  const TimePoint surge_end = pool.now() + 4s;
  while (pool.now() < surge_end) {
    // A job of 6 tasks of 1 core for 0.6 s every 25 ms: 144 cores.
    if (number * 25ms <= (pool.now() - TimePoint(1s))) {
      const std::string id = "job" + std::to_string(number++);
      pool.Submit(MakeJob(id, {MakeStep(6, 1000, 600ms)}));
      submitted.emplace_back(JobId(id), pool.now());
    }
    pool.Step();
    note_final();
  }
  while (took.size() < submitted.size() && pool.now() < surge_end + 10s) {
    pool.Step();
    note_final();
  }
  ASSERT_EQ(took.size(), submitted.size()) << "late jobs are done in the trough";
  const Duration objective = 1560ms;  // 1.6 x 0.6 s + 0.6 s.
  const auto in_time = std::count_if(took.begin(), took.end(),
                                     [&](const auto& entry) { return entry.second <= objective; });
  // The pool completes 44 % of the work during the surge, and more until the objective has passed.
  EXPECT_GE(static_cast<double>(in_time) / static_cast<double>(submitted.size()), 0.4);
}

PoolDemand MakeDemand(std::string_view name, int instances, double wanted) {
  return {.pool = PoolName(name),
          .instances = instances,
          .movable = instances,
          .cores_per_instance = 16,
          .wanted_cores = wanted};
}

// Load pattern: one pool surges while the others are idle.
TEST(SurgeTest, IdlePoolsGiveBeforeTheStandbyPool) {
  PoolDemand standby = MakeDemand("spare", 8, 0);
  standby.standby = true;
  const std::vector<PoolDemand> demands{MakeDemand("a", 9, 300), MakeDemand("b", 9, 20),
                                        MakeDemand("c", 9, 20), standby};
  const auto moves = PlanMoves(demands);
  ASSERT_EQ(moves.size(), 2u);
  EXPECT_EQ(moves[0], (PlannedMove{PoolName("b"), PoolName("a"), 6}));
  EXPECT_EQ(moves[1], (PlannedMove{PoolName("c"), PoolName("a"), 4}));
}

// Guards against duplicate moves: instances in transit count for the receiving pool.
TEST(SurgeTest, InstancesUnderWayCountForTheReceivingPool) {
  std::vector<PoolDemand> demands{MakeDemand("a", 9, 300), MakeDemand("b", 9, 20),
                                  MakeDemand("c", 9, 20)};
  demands[1].departing[PoolName("a")] = 10;
  EXPECT_TRUE(PlanMoves(demands).empty());
}

// Guards against the cost of idle instances in excess of the largest surge.
TEST(SurgeTest, WhatTheLargestSurgeLeavesIdleIsParked) {
  std::vector<PoolDemand> demands{MakeDemand("a", 9, 20), MakeDemand("b", 9, 20),
                                  MakeDemand("c", 9, 20)};
  PoolDemand standby = MakeDemand("spare", 8, 0);
  standby.standby = true;
  demands.push_back(standby);
  EXPECT_TRUE(PlanMoves(demands).empty()) << "the size of a surge is not known yet";
  demands[0].pattern = {.predecessor = PoolName("c"), .lag = 4s, .cores = 250};
  const auto moves = PlanMoves(demands);
  ASSERT_EQ(moves.size(), 1u);
  EXPECT_EQ(moves[0], (PlannedMove{PoolName("a"), PoolName("spare"), 2}));
}

// Load pattern: a trough in which a pool runs little besides a service of 24 tasks, each on a
// separate executor. Guards against moving away the spare executor on which a lost task would
// restart: there was no other until the pool's next surge.
TEST(SurgeTest, PoolKeepsRoomToSpreadItsLastingTasks) {
  PoolDemand spread = MakeDemand("a", 25, 60);
  spread.min_instances = 24;
  spread.movable = 1;
  EXPECT_TRUE(PlanMoves(std::vector{spread, MakeDemand("b", 9, 300)}).empty());
  spread.instances = 23;
  spread.movable = 0;
  const std::vector<PlannedMove> moves = PlanMoves(std::vector{spread, MakeDemand("c", 9, 16)});
  ASSERT_EQ(moves.size(), 1u);
  EXPECT_EQ(moves[0], (PlannedMove{PoolName("c"), PoolName("a"), 1}));
}

// Guards against pools that move instances back and forth.
TEST(SurgeTest, PoolsThatHaveWhatTheyWantMoveNothing) {
  const std::vector<PoolDemand> demands{MakeDemand("a", 9, 140), MakeDemand("b", 9, 130)};
  EXPECT_TRUE(PlanMoves(demands).empty());
}

// Load pattern: the first surge of a pool, whose size is not known.
// Guards against requesting instances one by one as the jobs arrive.
TEST(SurgeTest, FirstSurgeIsTakenForATypicalOne) {
  constexpr double kCapacity = 100;
  constexpr Duration kGap = 20ms;
  SurgeForecast forecast;
  TimePoint now{1s};
  const auto feed = [&](double cores, Duration duration) {
    for (const TimePoint end = now + duration; now < end; now += kGap) {
      forecast.ObserveArrival(cores * ToSeconds(kGap), now);
      forecast.Update(kCapacity, now);
    }
  };
  feed(0.1 * kCapacity, 10s);
  EXPECT_LT(forecast.ExpectedCores(now), 0.2 * kCapacity);
  feed(2.2 * kCapacity, 400ms);
  EXPECT_GE(forecast.ExpectedCores(now), 2 * kCapacity) << "the surge is seen when it is over";
  feed(0.1 * kCapacity, 4s);
  EXPECT_LT(forecast.ExpectedCores(now), 0.5 * kCapacity);
}

// Guards against moves for a few jobs that arrive at the same time by coincidence.
TEST(SurgeTest, FewJobsAtOnceAreNoSurge) {
  constexpr double kCapacity = 100;
  SurgeForecast forecast;
  TimePoint now{1s};
  for (int i = 0; i < 100; ++i, now += 100ms) {
    forecast.ObserveArrival(0.3 * kCapacity * 0.1, now);
    forecast.Update(kCapacity, now);
  }
  forecast.ObserveArrival(0.3 * kCapacity, now);
  forecast.Update(kCapacity, now);
  EXPECT_LT(forecast.ExpectedCores(now), kCapacity);
}

// Load pattern: the queues surge in turns, a different one every 4 s.
// Guards against instances that arrive only when half of the surge is over.
TEST(SurgeTest, SurgeIsExpectedWhenItsPredecessorBegins) {
  SurgeForecast forecast;
  TimePoint now{100s};
  const PoolName before("before");
  const auto feed_surge = [&] {
    for (int i = 0; i < 160; ++i, now += 25ms) {
      forecast.ObserveArrival(7.5, now);  // 300 cores.
      forecast.Update(144, now);
    }
    for (int i = 0; i < 40; ++i, now += 100ms) forecast.Update(144, now);
  };
  forecast.ObservePeerSurge(before, now - 4s);
  feed_surge();
  EXPECT_EQ(forecast.surges(), 1);
  EXPECT_FALSE(forecast.in_surge());
  now += 8s;
  EXPECT_LT(forecast.ExpectedCores(now), 10);
  forecast.ObservePeerSurge(before, now);
  EXPECT_LT(forecast.ExpectedCores(now + 1s), 10);
  EXPECT_GT(forecast.ExpectedCores(now + 2500ms), 200);
  EXPECT_LT(forecast.ExpectedCores(now + 7s), 10) << "a surge that does not come frees instances";
}

MaintenanceCandidate DueInstance(std::string_view name, double used) {
  return {.instance = InstanceId(name), .cores = 16, .used_cores = used};
}

// Load pattern: a surge during a maintenance wave.
// Guards against draining instances in the surge while there is time to wait for the trough.
TEST(SurgeTest, MaintenanceWaitsForTheTrough) {
  const std::vector<MaintenanceCandidate> due{DueInstance("a", 16), DueInstance("b", 16),
                                              DueInstance("c", 0)};
  MaintenanceState state{.load = {.capacity = 144, .used = 140, .waiting = 100},
                         .max_at_once = 10,
                         .due_instances = 3,
                         .time_left = 25s};
  EXPECT_TRUE(ChooseForMaintenance(due, state).empty());
  state.load = {.capacity = 144, .used = 32, .waiting = 0};
  const auto chosen = ChooseForMaintenance(due, state);
  EXPECT_EQ(chosen.size(), 3u);
  EXPECT_EQ(chosen.front(), InstanceId("c")) << "the least work first";
  state.load = {.capacity = 144, .used = 140, .waiting = 100};
  state.time_left = 5s;
  EXPECT_FALSE(ChooseForMaintenance(due, state).empty()) << "the wave has to end in time";
}

TEST(SurgeTest, MaintenanceKeepsToTheLimitOfTheWave) {
  const std::vector<MaintenanceCandidate> due{DueInstance("a", 0), DueInstance("b", 0),
                                              DueInstance("c", 0)};
  const MaintenanceState state{.load = {.capacity = 144},
                               .out_of_service = 1,
                               .max_at_once = 2,
                               .due_instances = 3,
                               .time_left = 25s};
  EXPECT_EQ(ChooseForMaintenance(due, state).size(), 1u);
}

}  // namespace
}  // namespace citronferry::scheduling
