#include "fleet/pool/internal/owner_elector.h"
#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "fleet/tests/fleet_fixture.h"
#include "fleet/watch/watchers.h"

namespace citronferry::fleet {
namespace {

using scheduling::ExecutorId;

/// Executors that run nothing and answer every hold.
class IdleExecutors : public Executors {
 public:
  explicit IdleExecutors(TimerService& timers) : m_timers(timers) {}

  QCoro::Task<HoldResult> Hold(ExecutorAddress, HoldCall call) override {
    ++holds;
    co_await SleepFor(m_timers, std::min<Duration>(call.wait, 50ms));
    HoldResult result{.outcome = HoldOutcome::kReported,
                      .report = {.incarnation_unix_ms = 1000, .clock_ms = 1000}};
    co_return result;
  }
  QCoro::Task<StartResult> Start(ExecutorAddress, StartCall) override {
    co_return StartResult{.answer = scheduling::StartAnswer::kStarted};
  }
  QCoro::Task<scheduling::StopAnswer> Stop(ExecutorAddress, scheduling::StopOrder, int64_t,
                                           Duration) override {
    co_return scheduling::StopAnswer::kAccepted;
  }
  QCoro::Task<Ret> Pace(ExecutorAddress, scheduling::PaceOrder, int64_t, Duration) override {
    co_return MakeOk();
  }

  int holds = 0;

 private:
  TimerService& m_timers;
};

/// One instance that accepts its maintenance.
class OneInstance : public Instances {
 public:
  QCoro::Task<RetVal<std::vector<Instance>>> List() override {
    std::vector<Instance> listed{instance};
    co_return listed;
  }
  QCoro::Task<InstanceOrderOutcome> Move(InstanceId, PoolName, OrderIssuer) override {
    co_return InstanceOrderOutcome::kRefused;
  }
  QCoro::Task<InstanceOrderOutcome> StartMaintenance(InstanceId, int64_t, OrderIssuer) override {
    ++orders;
    instance.state = InstanceState::kInMaintenance;
    co_return InstanceOrderOutcome::kAccepted;
  }

  Instance instance{.id = InstanceId("m-1"),
                    .pool = PoolName("pool"),
                    .state = InstanceState::kUp,
                    .executor = ExecutorId("x1"),
                    .rack = RackName("r")};
  int orders = 0;
};

/// Two entries that share a store.
class HandoverTest : public FleetTest {
 protected:
  /// An entry whose elector runs until it is stopped.
  struct Entry {
    Entry(HandoverTest& test, std::string name)
        : options{.name = name,
                  .incarnation = "life of " + name,
                  .cores = 0.25,
                  .holder_change_interval = 0s},
          context{.options = options,
                  .timers = *test.m_timers,
                  .metrics = test.m_metrics,
                  .platform = test.m_services},
          elector(context, test.m_pool, stop) {
      context.configuration.Set({.version = 1, .pools = {{.name = test.m_pool}}});
      context.owners_seen_since = test.m_timers->Now();
    }

    void Start() {
      scope.Spawn([this]() -> QCoro::Task<void> {
        while (!stop.requested()) static_cast<void>(co_await elector.Run());
      });
    }
    bool Stop() {
      stop.Request();
      return ProcessEventsUntil([this] { return scope.running() == 0; });
    }
    void ListExecutor(std::string_view id, const PoolName& pool) {
      const ExecutorId executor(id);
      context.registry.Set({{executor,
                             {.id = executor,
                              .pool = pool,
                              .address = "10.0.0.1:80",
                              .capacity = {.cpu_millicores = 16000, .memory_mb = 64000},
                              .incarnation_unix_ms = 1000}}});
    }

    FleetOptions options;
    FleetContext context;
    StopSignal stop;
    OwnerElector elector;
    TaskScope scope;
  };

  OwnerRecord Owner() const { return DecodeOwner(m_rows.At(OwnerKey(m_pool)).value).value(); }
  bool IsOwned(std::string_view by) const {
    return m_rows.Has(OwnerKey(m_pool)) && Owner().holder == by && !Owner().loading;
  }
  std::string WaveRow() const {
    const RowKey key = MaintenanceWaveKey(1);
    return m_rows.Has(key) ? m_rows.At(key).value : std::string();
  }

  PoolName m_pool{"pool"};
  IdleExecutors m_idle{*m_timers};
  OneInstance m_instance;
  PlatformServices m_services{.rows = m_rows,
                              .announcements = m_announcements,
                              .executors = m_idle,
                              .adviser = m_adviser,
                              .instances = m_instance,
                              .clients = m_clients};
};

// Guards against maintenance that is repeated after a handover: the executor that came back was
// drained once more and then kept free of tasks for ever, since nothing happened (review/5).
TEST_F(HandoverTest, OrderedMaintenanceIsNotRepeatedByTheSuccessor) {
  Entry first(*this, "entry-1");
  Entry second(*this, "entry-2");
  const MaintenanceWave wave{.number = 1,
                             .instances = {m_instance.instance.id},
                             .time_left_at_start = 10s,
                             .max_at_once = 1};
  for (Entry* entry : {&first, &second}) entry->context.waves.Set({{1, wave}});
  first.ListExecutor("x1", m_pool);
  first.Start();
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_instance.orders == 1; }));
  ASSERT_TRUE(first.Stop());
  EXPECT_EQ(Owner().holder, "");
  m_instance.instance.state = InstanceState::kUp;
  m_instance.instance.executor = ExecutorId("x2");
  second.ListExecutor("x2", m_pool);
  ObserveOwner(second.context, m_rows.At(ReleaseKey(m_pool)));
  second.Start();
  const bool done =
      ProcessEventsUntil([&] { return WaveRow().find(R"("done":["m-1"])") != std::string::npos; });
  EXPECT_TRUE(done) << WaveRow();
  EXPECT_EQ(m_instance.orders, 1);
  EXPECT_TRUE(second.Stop());
}

// Guards against a released pool that waits until some entry polls the owners, and against an entry
// that bids although the owner has chosen another one.
TEST_F(HandoverTest, ChosenSuccessorBidsFirst) {
  Entry first(*this, "entry-1");
  first.context.entries.Set(
      {{EntryId("entry-2"), {.entry = EntryId("entry-2"), .cores = 0.5, .announced_version = 1}}});
  first.Start();
  ASSERT_TRUE(ProcessEventsUntil([&] { return IsOwned("entry-1"); }));
  ASSERT_TRUE(first.Stop());
  EXPECT_EQ(Owner().successor, EntryId("entry-2"));
  Entry second(*this, "entry-2");
  Entry third(*this, "entry-3");
  for (Entry* entry : {&second, &third}) {
    ObserveOwner(entry->context, m_rows.At(ReleaseKey(m_pool)));
  }
  third.Start();
  second.Start();
  ASSERT_TRUE(ProcessEventsUntil([&] { return IsOwned("entry-2"); }));
  EXPECT_EQ(third.context.owned_pools, 0);
  EXPECT_TRUE(third.Stop());
  EXPECT_TRUE(second.Stop());
}

// Guards against a pool that nobody owns because the chosen successor is dead.
TEST_F(HandoverTest, OthersBidWhenTheSuccessorDoesNot) {
  const OwnerRecord released{.incarnation = "life-0", .successor = EntryId("dead")};
  m_rows.Apply({.puts = {{.key = OwnerKey(m_pool), .value = EncodeOwner(released)}}});
  Entry entry(*this, "entry-1");
  ObserveOwner(entry.context, m_rows.At(OwnerKey(m_pool)));
  entry.Start();
  EXPECT_TRUE(ProcessEventsUntil([&] { return IsOwned("entry-1"); }));
  EXPECT_TRUE(entry.Stop());
}

class HandoverRecordTest : public FleetTest {
 protected:
  static HandoverRecord Record(int executors, int runs) {
    HandoverRecord record;
    for (int i = 0; i < executors; ++i) {
      scheduling::HandedOverExecutor executor{.executor = ExecutorId("x" + std::to_string(i)),
                                              .incarnation_unix_ms = 1'700'000'000'000 + i,
                                              .lease_left = 1ms * i,
                                              .unresolved = i % 2 == 1};
      for (int run = 0; run < runs; ++run) {
        executor.runs.push_back(
            {.task = {.job = JobId("5c0e7a21d94b36f8"), .occurrence = 1, .step = 2, .index = run},
             .run = (int64_t{50'000} << 20) + run,
             .confirmed = run % 2 == 0,
             .listed = run % 3 == 0,
             .copy_outstanding = run % 5 == 0});
      }
      record.pool.executors.push_back(std::move(executor));
    }
    record.maintenance.push_back(
        {.wave = 4, .instance = InstanceId("m-1"), .executor = ExecutorId("x")});
    return record;
  }
  static std::vector<Row> Rows(const std::vector<std::string>& values, int64_t version) {
    std::vector<Row> rows;
    for (const std::string& value : values) rows.push_back({.value = value, .version = version});
    return rows;
  }
};

// Guards against rows that the store rejects because they are too large, and against a pool whose
// runs are only partly handed over.
TEST_F(HandoverRecordTest, LargeRecordsAreSplitOverRows) {
  const HandoverRecord record = Record(130, 20);
  const std::vector<std::string> values = EncodeHandover(record);
  ASSERT_GT(values.size(), 1u);
  ASSERT_LE(values.size(), kMaxHandoverRows);
  for (const std::string& value : values) EXPECT_LT(value.size() * 4 / 3, 65536u);
  std::vector<Row> rows = Rows(values, 7);
  const auto decoded = DecodeHandover(rows, 7);
  ASSERT_TRUE(decoded.ok()) << decoded.ret().message();
  EXPECT_EQ(decoded->pool.executors, record.pool.executors);
  EXPECT_EQ(decoded->maintenance, record.maintenance);
  rows.pop_back();
  EXPECT_FALSE(DecodeHandover(rows, 7).ok());
  EXPECT_TRUE(EncodeHandover(Record(130, 200)).empty());
}

// Guards against the record of an earlier release, or a damaged one, that is taken for the state of
// the pool.
TEST_F(HandoverRecordTest, OutdatedAndDamagedRecordsAreNotUsed) {
  std::vector<Row> rows = Rows(EncodeHandover(Record(2, 2)), 7);
  EXPECT_TRUE(DecodeHandover(rows, 7).ok());
  EXPECT_FALSE(DecodeHandover(rows, 8).ok());
  EXPECT_FALSE(DecodeHandover({}, 7).ok());
  for (const char* damaged :
       {"", "{}", R"({"rows":1})", R"({"rows":1,"executors":[{"id":"x"}]})",
        R"({"rows":1,"executors":[{"id":"x","lease_ms":1,"runs":[["a",0,0,0,"r",1]]}]})"}) {
    rows.front().value = damaged;
    EXPECT_FALSE(DecodeHandover(rows, 7).ok()) << damaged;
  }
}

}  // namespace
}  // namespace citronferry::fleet
