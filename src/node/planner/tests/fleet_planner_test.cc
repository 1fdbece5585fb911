#include "node/planner/internal/fleet_planner.h"

#include <gtest/gtest.h>

#include "node/gateway/internal/dispatcher_inputs.h"
#include "node/planner/internal/row_codec.h"
#include "node/planner/ownership_codec.h"
#include "supervision/timer_queue.h"

namespace citronferry::node {
namespace {

// Every field must survive encoding and decoding. Otherwise a planner that takes over would
// continue from a different state.
TEST(RowCodecTest, RowsSurviveEncoding) {
  const ownership::InstanceRow instance{.pool = PoolName("a"),
                                        .state = ownership::RowState::kDetached,
                                        .target = PoolName("b"),
                                        .epoch = 3,
                                        .home = PoolName("a"),
                                        .document = 7};
  EXPECT_EQ(DecodeInstanceRow(EncodeInstanceRow(instance)), instance);
  const maintenance::PoolRow pool{.epoch = 3,
                                  .document = 7,
                                  .out = {{.instance = InstanceId("i1"),
                                           .reason = maintenance::OutOfServiceReason::kMove,
                                           .target = PoolName("b"),
                                           .row_version = 9,
                                           .generation = 2,
                                           .since = 1'800'000'000}},
                                  .wave = "kernel",
                                  .generation = 2,
                                  .done = {InstanceId("i2")},
                                  .previous = {InstanceId("i3")},
                                  .completed = {{"kernel", 1}},
                                  .completed_at = {{"kernel", 1'800'000'001}}};
  EXPECT_EQ(DecodePoolRow(EncodePoolRow(pool)), pool);
  const leadership::LeaseRow lease{.holder = "e1/0f", .epoch = 4, .write_number = 5};
  EXPECT_EQ(DecodeLeaseRow(EncodeLeaseRow(lease)), lease);
}

// A row that an operator has damaged must not be taken for a serving instance.
TEST(RowCodecTest, DamagedInstanceRowsAreRefused) {
  EXPECT_FALSE(DecodeInstanceRow("{"));
  EXPECT_FALSE(DecodeInstanceRow(R"({"pool":"a","state":"Serving"})"));
  EXPECT_FALSE(DecodeInstanceRow(R"({"pool":"","state":"serving"})"));
  EXPECT_FALSE(DecodeInstanceRow(R"({"pool":"a","state":"draining"})"));
}

// Requests must not be sent to an instance that is not serving, that has no row yet, or that was
// removed from the document and therefore counts against no budget.
TEST(DispatcherInputsTest, OnlyServingRowsAreUsed) {
  Metrics metrics;
  provider::ProviderModule platform({.url = "http://127.0.0.1:1"});
  ManualTimerService timers;
  const document::Settings settings{.id = EntryId("e0")};
  NodeContext context{
      .settings = settings, .timers = timers, .metrics = metrics, .platform = platform};
  auto document = std::make_shared<document::Document>();
  document->pools = {
      {.name = PoolName("a"), .instances = {InstanceId("i0"), InstanceId("i1"), InstanceId("i2")}}};
  context.configuration.Set({.version = 1, .document = std::move(document)});
  FleetView fleet;
  fleet.instances = {{.id = InstanceId("i0")},
                     {.id = InstanceId("i1")},
                     {.id = InstanceId("i2")},
                     {.id = InstanceId("i3")}};
  fleet.ownership[InstanceId("i1")] = {.pool = PoolName("a"), .serving = false};
  fleet.ownership[InstanceId("i2")] = {.pool = PoolName("b"), .serving = true};
  fleet.ownership[InstanceId("i3")] = {.pool = PoolName("b"), .serving = true};
  context.fleet.Set(std::move(fleet));
  const auto executors = MakeExecutorStates(context);
  ASSERT_EQ(executors.size(), 1u);
  EXPECT_EQ(executors[0].id, InstanceId("i2"));
  EXPECT_EQ(executors[0].pool, PoolName("b"));
}

// The limits that the document declares for a team must reach the dispatch policy.
TEST(DispatcherInputsTest, LimitsOfATeamReachDispatch) {
  document::Document document;
  document.teams = {
      {.name = TeamName("t"), .max_in_flight = 3, .queues = {QueueName("tally")}, .token_sha256{}}};
  const dispatch::TeamPolicy team = MakeDispatchPolicy(document).teams.at(TeamName("t"));
  EXPECT_EQ(team.max_in_flight, 3u);
  EXPECT_EQ(team.queues, std::set{QueueName("tally")});
}

// An instance that the document lists in two pools must be assigned to the first one only. The
// budget of a pool must be the smallest one of the services that use it.
TEST(FleetPlannerTest, DocumentIsReducedToOnePoolAndTheSmallestBudget) {
  FleetPlanner planner(EntryId("e0"));
  document::Document document;
  const InstanceId shared("i1");
  document.pools = {{.name = PoolName("a"), .instances = {shared, InstanceId("i2")}},
                    {.name = PoolName("b"), .instances = {shared}}};
  document.services = {
      {.name = ServiceName("s"), .pool = PoolName("a"), .max_unavailable = 5, .reserve = 1},
      {.name = ServiceName("t"), .pool = PoolName("a"), .max_unavailable = 3, .reserve = 1}};
  EXPECT_EQ(planner.Observe(document, 1, TimePoint(1s)), std::vector{shared});
  EXPECT_EQ(planner.ownership().homes().at(shared), PoolName("a"));
  const std::vector<provider::InstanceInfo> list{{.id = InstanceId("e0")}, {.id = shared}};
  planner.Observe(list, TimePoint(1s), TimePoint(1s));
  planner.Step(1, 0, TimePoint(1s));
  EXPECT_EQ(planner.maintenance().progress()[0].allowed, 2);
}

// The time window and the maintenance time of a wave must reach the maintenance plan: no instance
// is taken out before the window, and the estimate contains both the wait and the maintenance time.
TEST(FleetPlannerTest, WindowAndMaintenanceTimeOfAWaveReachThePlan) {
  FleetPlanner planner(EntryId("e0"));
  document::Document document;
  const InstanceId id("i1");
  document.pools = {{.name = PoolName("a"), .instances = {id}}};
  document.waves = {{.name = "kernel",
                     .pools = {PoolName("a")},
                     .maintenance_time = 20min,
                     .start = 2h,
                     .end = 4h}};
  planner.Observe(document, 1, TimePoint(1s));
  const ownership::RowObserved row{
      .id = id, .row = ownership::InstanceRow{.pool = PoolName("a")}, .version = 1, .sequence = 1};
  planner.Observe(row, TimePoint(1s));
  const std::vector<provider::InstanceInfo> list{{.id = id}};
  planner.Observe(list, TimePoint(1s), TimePoint(1s));
  constexpr int64_t kMidnight = 86'400;
  planner.Step(1, kMidnight, TimePoint(1s));
  planner.Observe(
      maintenance::PoolObserved{
          .pool = PoolName("a"), .row = maintenance::PoolRow{.epoch = 1}, .version = 1},
      TimePoint(1s));
  planner.Step(1, kMidnight, TimePoint(1s));
  EXPECT_EQ(planner.maintenance().progress()[0].planned, 0);
  EXPECT_EQ(planner.maintenance().progress()[0].estimate, 2h + 20min);
  planner.Step(1, kMidnight + 3 * 3600, TimePoint(1s));
  EXPECT_EQ(planner.maintenance().progress()[0].planned, 1);
}

}  // namespace
}  // namespace citronferry::node
