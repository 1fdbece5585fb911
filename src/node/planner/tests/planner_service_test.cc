#include "node/planner/internal/planner_service.h"

#include <gtest/gtest.h>

#include "node/planner/internal/row_codec.h"
#include "node/planner/ownership_codec.h"
#include "provider/testing/fake_table_service.h"
#include "supervision/task_scope.h"
#include "supervision/testing/event_loop.h"
#include "supervision/timer_queue.h"

namespace citronferry::node {
namespace {

/// Instance service with two entries and two executors. A rebooted instance is absent from the list
/// for 20 s.
class FakeInstances : public provider::InstanceService {
 public:
  explicit FakeInstances(TimerService& timers) : m_timers(timers) {}

  QCoro::Task<RetVal<std::vector<provider::InstanceInfo>>> List() override {
    std::vector<provider::InstanceInfo> list{{.id = InstanceId("e0"), .is_entry = true},
                                             {.id = InstanceId("e1"), .is_entry = true}};
    for (const char* id : {"i0", "i1"}) {
      const auto reboot = reboots.find(InstanceId(id));
      if (reboot != reboots.end() && m_timers.Now() - reboot->second < 20s) continue;
      list.push_back({.id = InstanceId(id), .rack = RackName("r0")});
    }
    co_return list;
  }
  QCoro::Task<Ret> Reboot(InstanceId instance) override {
    reboots[instance] = m_timers.Now();
    ++reboot_count;
    co_return MakeOk();
  }

  std::map<InstanceId, TimePoint> reboots;
  int reboot_count = 0;

 private:
  TimerService& m_timers;
};

class PlannerServiceTest : public ::testing::Test {
 protected:
  struct Node {
    Node(PlannerServiceTest& test, std::string_view id)
        : settings{.id = EntryId(id)},
          context{.settings = settings,
                  .timers = test.m_timers,
                  .metrics = test.m_metrics,
                  .platform = test.m_platform,
                  .incarnation = "0"},
          service(context, test.m_tables, test.m_instances) {}

    document::Settings settings;
    NodeContext context;
    PlannerService service;
  };

  PlannerServiceTest() { TestApplication(); }
  ~PlannerServiceTest() override {
    for (const auto& node : m_nodes) node->service.Stop();
    Run(1s);
  }

  Node& Start(std::string_view id) {
    m_nodes.push_back(std::make_unique<Node>(*this, id));
    Node& node = *m_nodes.back();
    node.context.configuration.Set({.version = m_version, .document = m_document});
    m_tasks.Spawn([&node]() -> QCoro::Task<void> { co_await node.service.Run(); });
    return node;
  }
  void Configure(std::vector<document::Pool> pools, int wave_generation = 0) {
    auto document = std::make_shared<document::Document>();
    document->pools = std::move(pools);
    if (wave_generation > 0) {
      document->waves = {
          {.name = "kernel", .pools = {PoolName("a")}, .generation = wave_generation}};
    }
    m_document = std::move(document);
    ++m_version;
    for (const auto& node : m_nodes) {
      node->context.configuration.Set({.version = m_version, .document = m_document});
    }
  }
  /// Advances virtual time; after each step the entries acknowledge all ownership changes, unless
  /// m_acknowledge is false.
  void Run(Duration duration) {
    for (const TimePoint end = m_timers.Now() + duration; m_timers.Now() < end;) {
      m_timers.Advance(500ms);
      // Calls of the fakes complete without suspending, so a few rounds finish all work that the
      // timers have started.
      for (int round = 0; round < 8; ++round) QCoreApplication::processEvents();
      if (m_acknowledge) {
        for (const char* entry : {"e0", "e1"}) {
          m_tables.Put({.table = "entries", .key = entry}, R"({"acknowledged_sequence":1000000})");
        }
      }
    }
  }
  std::optional<ownership::InstanceRow> InstanceRow(const char* id) const {
    const auto value = m_tables.Value({.table = kInstancesTable, .key = id});
    return value ? DecodeInstanceRow(*value) : std::nullopt;
  }
  maintenance::PoolRow PoolRow(const char* pool) const {
    const auto value = m_tables.Value({.table = "pools", .key = pool});
    return value ? DecodePoolRow(*value).value() : maintenance::PoolRow{};
  }
  static std::vector<document::Pool> MakePools(std::string_view pool_of_i1) {
    std::vector<document::Pool> pools{{.name = PoolName("a"), .instances = {InstanceId("i0")}},
                                      {.name = PoolName("b")}};
    pools[pool_of_i1 == "a" ? 0 : 1].instances.emplace_back("i1");
    return pools;
  }

  ManualTimerService m_timers;
  Metrics m_metrics;
  provider::ProviderModule m_platform{{.url = "http://127.0.0.1:1"}};
  provider::FakeTableService m_tables;
  FakeInstances m_instances{m_timers};
  std::shared_ptr<const document::Document> m_document;
  uint64_t m_version = 0;
  bool m_acknowledge = true;
  TaskScope m_tasks;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

// The responses to the first six writes are lost and another planner takes over during a wave. The
// wave and a move must still be completed.
TEST_F(PlannerServiceTest, WaveAndMoveAreCompletedByAnotherPlanner) {
  Configure(MakePools("a"), 1);
  Node& first = Start("e0");
  m_tables.lost_responses = 6;
  Run(20s);
  EXPECT_TRUE(first.context.planner.Get().acting);
  ASSERT_EQ(PoolRow("a").out.size(), 1u);
  first.service.Stop();
  Run(1s);
  Node& second = Start("e1");
  Run(180s);
  EXPECT_EQ(second.context.planner.Get().epoch, 2u);
  EXPECT_EQ(PoolRow("a").completed["kernel"], 1);
  // A planner that takes over cannot tell whether a detached instance has been rebooted already.
  EXPECT_LE(m_instances.reboot_count, 3);
  const int reboots = m_instances.reboot_count;
  Configure(MakePools("b"), 1);
  Run(60s);
  EXPECT_EQ(InstanceRow("i1")->pool, PoolName("b"));
  EXPECT_EQ(InstanceRow("i1")->state, ownership::RowState::kServing);
  EXPECT_EQ(m_instances.reboot_count, reboots + 1);
  EXPECT_TRUE(PoolRow("a").out.empty());
}

// An instance must not be detached and rebooted before every entry has acknowledged that it drains,
// because an entry may still use it.
TEST_F(PlannerServiceTest, DrainWaitsForAcknowledgements) {
  Configure(MakePools("a"));
  Start("e0");
  Run(5s);
  m_acknowledge = false;
  for (const char* entry : {"e0", "e1"}) {
    m_tables.Put({.table = "entries", .key = entry}, R"({"acknowledged_sequence":1})");
  }
  Configure(MakePools("b"));
  Run(60s);
  EXPECT_EQ(InstanceRow("i1")->state, ownership::RowState::kDraining);
  EXPECT_EQ(m_instances.reboot_count, 0);
}

// A planner is paused for 30 s in the middle of a step and another one takes over its lease. The
// first one must not write any more rows after it resumes.
TEST_F(PlannerServiceTest, PlannerThatResumesLateIsFenced) {
  Configure(MakePools("a"), 1);
  int late_writes = 0;
  m_tables.before_write = [&](const provider::RowKey& key) {
    if (key.table == "leases") return;
    // The pause begins while the first write of the step is in flight.
    if (late_writes++ > 0) return;
    m_timers.Pause(30s);
    m_tables.Put({.table = "leases", .key = "planner"},
                 EncodeLeaseRow({.holder = "e1/0", .epoch = 2, .write_number = 1}));
    m_tables.Put({.table = "pools", .key = "a"}, EncodePoolRow({.epoch = 2}));
  };
  Start("e0");
  Run(3s);
  EXPECT_EQ(late_writes, 1) << "only the write that was in flight";
  EXPECT_EQ(PoolRow("a").epoch, 2u);
}

// While the table service is down, the planner must not act on outdated rows or retry in a busy
// loop. It must continue after the outage.
TEST_F(PlannerServiceTest, OutageStopsThePlannerUntilTheTableServiceRecovers) {
  Configure(MakePools("a"), 1);
  Node& node = Start("e0");
  Run(5s);
  m_tables.outage = true;
  const int calls = m_tables.reads() + m_tables.writes();
  Run(60s);
  EXPECT_FALSE(node.context.planner.Get().acting);
  EXPECT_LE(m_tables.reads() + m_tables.writes() - calls, 240) << "at most four calls per second";
  m_tables.outage = false;
  Run(180s);
  EXPECT_EQ(PoolRow("a").completed["kernel"], 1);
}

}  // namespace
}  // namespace citronferry::node
