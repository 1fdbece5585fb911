#include "fleet/pool/internal/owner_elector.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "fleet/tests/fleet_fixture.h"
#include "fleet/watch/watchers.h"
#include "supervision/time_of_day.h"
#include "supervision/timer_queue.h"

namespace citronferry::fleet {
namespace {

using scheduling::ExecutorId;
using scheduling::StartAnswer;

/// A start that an executor has carried out.
struct CarriedStart {
  ExecutorId executor;
  scheduling::TaskId task;
  int64_t token = 0;
};

/// State of the executors, as they keep it: the highest token and the runs.
struct ExecutorStates {
  std::map<ExecutorId, int64_t> tokens;
  std::map<ExecutorId, std::vector<scheduling::ActiveRun>> active;
  std::vector<CarriedStart> starts;
};

/// Executors as one entry reaches them.
class ReachedExecutors : public Executors {
 public:
  ReachedExecutors(TimerService& timers, ExecutorStates& states)
      : m_timers(timers), m_states(states) {}

  QCoro::Task<HoldResult> Hold(ExecutorAddress to, HoldCall call) override {
    const bool reached = !unreachable.contains(to.id);
    co_await SleepFor(m_timers, reached ? 5ms : call.timeout);
    HoldResult result;
    if (!reached) co_return result;
    if (!Accepts(to.id, call.fencing_token)) {
      result.outcome = HoldOutcome::kFenced;
      co_return result;
    }
    if (call.wait > Duration::zero()) co_await SleepFor(m_timers, 50ms);
    result.outcome = HoldOutcome::kReported;
    result.report.incarnation_unix_ms = 1000;
    result.report.clock_ms = ToMilliseconds(m_timers.Now() - TimePoint());
    result.report.active = m_states.active[to.id];
    co_return result;
  }
  QCoro::Task<StartResult> Start(ExecutorAddress to, StartCall call) override {
    if (unreachable.contains(to.id)) {
      co_await SleepFor(m_timers, call.timeout);
      co_return StartResult{.answer = StartAnswer::kUnknown};
    }
    if (start_delay > Duration::zero()) co_await SleepFor(m_timers, start_delay);
    if (!Accepts(to.id, call.fencing_token)) co_return StartResult{.answer = StartAnswer::kFenced};
    m_states.active[to.id].push_back({.task = call.order.task, .run = call.order.run});
    m_states.starts.push_back(
        {.executor = to.id, .task = call.order.task, .token = call.fencing_token});
    co_return StartResult{.answer = StartAnswer::kStarted};
  }
  QCoro::Task<scheduling::StopAnswer> Stop(ExecutorAddress, scheduling::StopOrder, int64_t,
                                           Duration) override {
    co_return scheduling::StopAnswer::kUnknown;
  }
  QCoro::Task<Ret> Pace(ExecutorAddress, scheduling::PaceOrder, int64_t, Duration) override {
    co_return MakeOk();
  }

  std::set<ExecutorId> unreachable;
  Duration start_delay{};  ///< After which an executor carries a start out.

 private:
  bool Accepts(const ExecutorId& executor, int64_t token) {
    int64_t& highest = m_states.tokens[executor];
    highest = std::max(highest, token);
    return token == highest;
  }

  TimerService& m_timers;
  ExecutorStates& m_states;
};

/// The store as one entry reaches it: reads are answered, transactions may have no response.
class ReachedStore : public RowStore {
 public:
  ReachedStore(TimerService& timers, FakeRowStore& rows) : m_timers(timers), m_rows(rows) {}

  QCoro::Task<RetVal<RowRange>> Read(std::string table, std::string partition, std::string from,
                                     std::string to) override {
    return m_rows.Read(std::move(table), std::move(partition), std::move(from), std::move(to));
  }
  QCoro::Task<TransactionResult> Transact(Transaction transaction, Duration timeout) override {
    if (commits_lost) {
      co_await SleepFor(m_timers, timeout);
      co_return TransactionResult{.error = "no response"};
    }
    co_return co_await m_rows.Transact(std::move(transaction), timeout);
  }
  QCoro::Task<RetVal<RowChanges>> Follow(std::string table, int64_t after, Duration wait) override {
    return m_rows.Follow(std::move(table), after, wait);
  }

  bool commits_lost = false;

 private:
  TimerService& m_timers;
  FakeRowStore& m_rows;
};

/// Processes of entries that share a store, in simulated time.
class OwnerElectorTest : public FleetTest {
 protected:
  OwnerElectorTest()
      : FleetTest(std::make_unique<ManualTimerService>()),
        m_time(static_cast<ManualTimerService&>(*m_timers)) {}

  /// A process of an entry whose elector runs until it is stopped.
  struct Process {
    Process(OwnerElectorTest& test, std::string name, std::string incarnation, std::string ip)
        : options{.name = std::move(name),
                  .incarnation = std::move(incarnation),
                  .relay_listener = {.address = std::move(ip), .port = 7062}},
          store(*test.m_timers, test.m_rows),
          executors(*test.m_timers, test.m_executor_states),
          services{.rows = store,
                   .announcements = test.m_announcements,
                   .executors = executors,
                   .adviser = test.m_adviser,
                   .instances = test.m_instances,
                   .clients = test.m_clients},
          context{.options = options,
                  .timers = *test.m_timers,
                  .metrics = metrics,
                  .platform = services},
          elector(context, test.m_pool, stop) {
      context.relay_address = RelayAddress(options);
      context.configuration.Set({.version = 1, .pools = {{.name = test.m_pool}}});
      context.owners_seen_since = test.m_timers->Now();
      if (test.m_rows.Has(OwnerKey(test.m_pool))) {
        ObserveOwner(context, test.m_rows.At(OwnerKey(test.m_pool)));
      }
    }

    void Start() {
      scope.Spawn([this]() -> QCoro::Task<void> {
        while (!stop.requested()) static_cast<void>(co_await elector.Run());
      });
    }
    void ListExecutors(std::span<const ExecutorId> ids) {
      ExecutorListing listing;
      for (const ExecutorId& id : ids) {
        listing[id] = {.id = id,
                       .pool = PoolName("pool"),
                       .address = id.str() + ":80",
                       .capacity = {.cpu_millicores = 16000, .memory_mb = 64000},
                       .incarnation_unix_ms = 1000};
      }
      context.registry.Set(std::move(listing));
    }

    FleetOptions options;
    Metrics metrics;
    ReachedStore store;
    ReachedExecutors executors;
    PlatformServices services;
    FleetContext context;
    StopSignal stop;
    OwnerElector elector;
    TaskScope scope;
  };

  void RunFor(Duration duration) {
    constexpr Duration kStep = 5ms;
    for (Duration passed{}; passed < duration; passed += kStep) {
      m_time.Advance(kStep);
      QCoreApplication::processEvents();
    }
  }
  template <typename Predicate>
  bool RunUntil(Predicate predicate, Duration longest = 20s) {
    const TimePoint deadline = m_time.Now() + longest;
    while (!predicate() && m_time.Now() < deadline) RunFor(5ms);
    return predicate();
  }
  bool Stop(Process& process) {
    process.stop.Request();
    return RunUntil([&] { return process.scope.running() == 0; });
  }
  OwnerRecord Owner() const { return DecodeOwner(m_rows.At(OwnerKey(m_pool)).value).value(); }
  bool IsOwnedBy(const Process& process) const {
    return m_rows.Has(OwnerKey(m_pool)) && Owner().incarnation == process.options.incarnation &&
           !Owner().loading;
  }
  void Submit(const JobId& id) {
    const scheduling::JobDefinition job{.id = id,
                                        .queue = QueueName("queue"),
                                        .steps = {{}},
                                        .accepted_unix_ms = UnixMilliseconds()};
    m_rows.Apply({.puts = {{.key = JobKey(m_pool, id), .value = EncodeJob(job)}}});
  }

  ManualTimerService& m_time;
  const PoolName m_pool{"pool"};
  ExecutorStates m_executor_states;
};

// Guards against two runs of a task (TWICE): the machine of an owner was replaced by one with the
// same name, which took the pool over at once. The previous owner, whose commits had no response,
// trusted its ownership for 2.2 s and started the same new job.
TEST_F(OwnerElectorTest, JobIsNotStartedByTwoProcessesOfOneName) {
  const ExecutorId x1("x1");
  const ExecutorId x2("x2");
  Process first(*this, "entry-1", "life-1", "10.1.0.9");
  first.ListExecutors(std::vector{x1});
  first.Start();
  ASSERT_TRUE(RunUntil([&] { return m_executor_states.tokens.contains(x1); }));
  RunFor(1s);
  first.store.commits_lost = true;
  Process second(*this, "entry-1", "life-2", "10.1.0.10");
  second.ListExecutors(std::vector{x1, x2});
  second.executors.unreachable = {x1};
  second.Start();
  RunFor(400ms);
  Submit(JobId("a"));
  EXPECT_TRUE(RunUntil([&] { return IsOwnedBy(second); }));
  RunFor(2s);
  EXPECT_EQ(m_executor_states.starts.size(), 1u);
  EXPECT_TRUE(Stop(first));
  EXPECT_TRUE(Stop(second));
}

// Guards against two runs of a task (TWICE): the start of a job that the feed had just brought was
// on its way when its owner released the pool, and the successor cannot reach the executor.
TEST_F(OwnerElectorTest, StartOnItsWayAtAReleaseIsNotRepeated) {
  const ExecutorId x1("x1");
  const ExecutorId x2("x2");
  Process first(*this, "entry-1", "life-1", "10.1.0.9");
  first.ListExecutors(std::vector{x1});
  first.executors.start_delay = 300ms;
  first.Start();
  ASSERT_TRUE(RunUntil([&] { return m_executor_states.tokens.contains(x1); }));
  RunFor(1s);
  Submit(JobId("a"));
  RunFor(100ms);
  ASSERT_TRUE(m_executor_states.starts.empty());
  first.stop.Request();
  ASSERT_TRUE(RunUntil([&] { return Owner().holder.empty(); }));
  ASSERT_TRUE(m_executor_states.starts.empty());
  Process second(*this, "entry-2", "life-2", "10.1.0.10");
  second.ListExecutors(std::vector{x1, x2});
  second.executors.unreachable = {x1};
  second.Start();
  EXPECT_TRUE(RunUntil([&] { return IsOwnedBy(second); }));
  RunFor(2s);
  EXPECT_EQ(m_executor_states.starts.size(), 1u);
  EXPECT_TRUE(Stop(first));
  EXPECT_TRUE(Stop(second));
}

// Guards against an owner that is deposed while it trusts its ownership: its name does not tell
// that its process has ended.
TEST_F(OwnerElectorTest, ProcessOfTheSameNameWaitsForTheVacancy) {
  const OwnerRecord record{.holder = "entry-1", .incarnation = "life-1"};
  m_rows.Apply({.puts = {{.key = OwnerKey(m_pool), .value = EncodeOwner(record)}}});
  Process second(*this, "entry-1", "life-2", "10.1.0.10");
  const TimePoint seen_at = m_time.Now();
  second.Start();
  EXPECT_TRUE(RunUntil([&] { return IsOwnedBy(second); }));
  EXPECT_GE(m_time.Now() - seen_at, kVacancyTimeout);
  EXPECT_TRUE(Stop(second));
}

// Guards against a restart that costs the vacancy time-out, in which leases run out when all
// entries restart at once.
TEST_F(OwnerElectorTest, RestartedProcessTakesItsPoolOverAtOnce) {
  Process first(*this, "entry-1", "life-1", "10.1.0.9");
  first.Start();
  ASSERT_TRUE(RunUntil([&] { return IsOwnedBy(first); }));
  first.store.commits_lost = true;
  EXPECT_TRUE(Stop(first));
  ASSERT_EQ(Owner().holder, "entry-1");
  Process second(*this, "entry-1", "life-2", "10.1.0.9");
  const TimePoint started_at = m_time.Now();
  second.Start();
  EXPECT_TRUE(RunUntil([&] { return IsOwnedBy(second); }));
  EXPECT_LT(m_time.Now() - started_at, 1s);
  EXPECT_TRUE(Stop(second));
}

// Guards against the same as ProcessOfTheSameNameWaitsForTheVacancy, on one machine: a process that
// cannot listen on its address, since the previous one does, must not take it for ended.
TEST_F(OwnerElectorTest, ProcessThatDoesNotListenWaitsForTheVacancy) {
  Process first(*this, "entry-1", "life-1", "10.1.0.9");
  first.Start();
  ASSERT_TRUE(RunUntil([&] { return IsOwnedBy(first); }));
  first.store.commits_lost = true;
  Process second(*this, "entry-1", "life-2", "10.1.0.9");
  second.context.relay_address.clear();
  const TimePoint started_at = m_time.Now();
  second.Start();
  EXPECT_TRUE(RunUntil([&] { return IsOwnedBy(second); }));
  EXPECT_GE(m_time.Now() - started_at, kVacancyTimeout);
  EXPECT_TRUE(Stop(first));
  EXPECT_TRUE(Stop(second));
}

// Guards against a pool without an owner after a bid whose response was lost.
TEST_F(OwnerElectorTest, LostResponseToABidCostsNoVacancyTimeout) {
  m_rows.faults = {FakeRowStore::Fault::kLoseResponse};
  Process process(*this, "entry-1", "life-1", "10.1.0.9");
  process.Start();
  ASSERT_TRUE(RunUntil([&] { return m_rows.Has(OwnerKey(m_pool)); }));
  const TimePoint bid_at = m_time.Now();
  ASSERT_TRUE(Owner().loading);
  EXPECT_TRUE(RunUntil([&] { return IsOwnedBy(process); }));
  EXPECT_LT(m_time.Now() - bid_at, 1s);
  EXPECT_TRUE(Stop(process));
}

}  // namespace
}  // namespace citronferry::fleet
