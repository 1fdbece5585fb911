#include "fleet/run_time_rows.h"

#include "fleet/pool/internal/pool_owner.h"
#include "fleet/pool/internal/state_committer.h"
#include "fleet/tables.h"
#include "fleet/tests/fleet_fixture.h"

namespace citronferry::fleet {
namespace {

using runtimes::RunTimes;

constexpr runtimes::TaskKind kKind{
    .queue = "queue", .image = "image", .cpu_millicores = 1000, .declared = 1s};

void Learn(RunTimes& run_times, int runs, Duration took) {
  for (int i = 0; i < runs; ++i) {
    const std::string job = "job" + std::to_string(i);
    const std::string executor = "x" + std::to_string(i % 4);
    run_times.Learn({.kind = kKind, .took = took, .executor = executor, .rack = "r", .job = job},
                    TimePoint(1s));
  }
}

// Guards against a state that differs after it was stored and read.
TEST(RunTimeRowsTest, StateSurvivesItsEncoding) {
  RunTimes learned;
  Learn(learned, 40, 3s);
  const auto rows = EncodeRunTimes(learned.state(), 1'700'000'000'000);
  RunTimes restored;
  for (const std::string& row : rows) {
    const auto decoded = DecodeRunTimes(row);
    ASSERT_TRUE(decoded.ok()) << decoded.ret().message();
    EXPECT_EQ(decoded->written_unix_ms, 1'700'000'000'000);
    restored.Merge(decoded->state, TimePoint(1s));
  }
  EXPECT_NEAR(ToSeconds(restored.Predict(kKind).Mean()), ToSeconds(learned.Predict(kKind).Mean()),
              0.05);
  EXPECT_NEAR(restored.Predict(kKind).samples(), learned.Predict(kKind).samples(), 0.5);
  EXPECT_EQ(restored.executors().records().size(), 4u);
}

// Guards against rows that the store rejects, which would end the ownership of the pool.
TEST(RunTimeRowsTest, RowsStayWithinTheirLimits) {
  RunTimes learned;
  TimePoint now{1s};
  for (int i = 0; i < 20'000; ++i) {
    const std::string image = std::string(150, 'i') + std::to_string(i % 300);
    const std::string executor = "executor-with-a-long-name-" + std::to_string(i % 600);
    const std::string job = std::to_string(i);
    learned.Learn(
        {.kind = {.queue = "queue", .image = image, .cpu_millicores = 1000, .declared = 1s},
         .took = FromSeconds(0.1 * (1 + i % 37)),
         .executor = executor,
         .rack = "rack",
         .job = job},
        now += 1ms);
  }
  const auto rows = EncodeRunTimes(learned.state(), 1);
  EXPECT_EQ(rows.size(), kMaxRunTimeRows);
  for (const std::string& row : rows) {
    EXPECT_LE(row.size(), kMaxRunTimeRowBytes);
    EXPECT_TRUE(DecodeRunTimes(row).ok());
  }
}

// Guards against rows of another program version, damaged ones and ones of any size that end the
// process or are taken for knowledge.
TEST(RunTimeRowsTest, OddRowsAreRejected) {
  RunTimes learned;
  Learn(learned, 40, 3s);
  const auto rows = EncodeRunTimes(learned.state(), 1);
  for (const std::string& row : rows) {
    for (size_t length = 0; length < row.size(); length += 7) {
      EXPECT_FALSE(DecodeRunTimes(row.substr(0, length)).ok());
    }
    // No change of one character may do harm, whether or not it is noticed.
    for (size_t i = 0; i < row.size(); i += 3) {
      for (const char replacement : {'9', '-', '"', '[', 'e'}) {
        std::string damaged = row;
        damaged[i] = replacement;
        const auto decoded = DecodeRunTimes(damaged);
        if (!decoded.ok()) continue;
        RunTimes restored;
        restored.Merge(decoded->state, TimePoint(1s));
        const Duration mean = restored.Predict(kKind).Mean();
        EXPECT_GE(mean, Duration::zero());
        EXPECT_LE(mean, 12h);
      }
    }
  }
  EXPECT_FALSE(DecodeRunTimes(R"({"v":2,"at":1,"kinds":[]})").ok()) << "newer";
  EXPECT_FALSE(DecodeRunTimes(R"({"at":1,"kinds":[]})").ok());
  EXPECT_FALSE(DecodeRunTimes(R"({"v":1,"at":1,"kinds":{}})").ok());
  EXPECT_FALSE(
      DecodeRunTimes(R"({"v":1,"at":1,"kinds":[["q","i",-1,[1,1,1,99,5],[0,0,0]]]})").ok());
  EXPECT_FALSE(
      DecodeRunTimes(R"({"v":1,"at":1,"kinds":[["q","i",-1,[1,1,1,9,-5],[0,0,0]]]})").ok());
  EXPECT_FALSE(DecodeRunTimes(R"({"v":1,"at":1,"executors":[["x","r",1]]})").ok());
  EXPECT_FALSE(
      DecodeRunTimes(R"({"v":1,"at":1,"kinds":[]})" + std::string(kMaxRunTimeRowBytes, ' ')).ok());
}

class RunTimesOwnerTest : public FleetTest {
 protected:
  RunTimesOwnerTest() { Acquire("life-1"); }

  void Acquire(std::string_view incarnation) {
    const OwnerRecord record{.holder = "entry-1", .incarnation = std::string(incarnation)};
    m_epoch =
        m_rows.Apply({.puts = {{.key = OwnerKey(m_pool), .value = EncodeOwner(record)}}}).version;
  }

  // Runs an owner until it has read the state of the pool, and then while a condition does not
  // hold.
  template <typename Predicate>
  void RunOwner(PoolOwner& owner, Predicate predicate) {
    StopSignal stop;
    TaskScope scope;
    scope.Spawn([&]() -> QCoro::Task<void> { static_cast<void>(co_await owner.Run(stop)); });
    EXPECT_TRUE(ProcessEventsUntil(
        [&] { return !DecodeOwner(m_rows.At(OwnerKey(m_pool)).value)->loading && predicate(); }));
    stop.Request();
    EXPECT_TRUE(ProcessEventsUntil([&] { return scope.running() == 0; }));
  }

  PoolName m_pool{"pool"};
  int64_t m_epoch = 0;
};

// Guards against a successor that starts from declared times after a graceful release.
TEST_F(RunTimesOwnerTest, ChangeOfOwnersLosesNoLearnedTime) {
  {
    PoolOwner owner(m_context, m_pool, {.epoch = m_epoch, .acquired_at = m_timers->Now()});
    RunOwner(owner, [&] {
      if (owner.scheduler().run_times().learned_runs() == 0) {
        Learn(owner.scheduler().run_times(), 40, 3s);
      }
      return m_rows.Has(RunTimesKey(m_pool, 0));
    });
    // What is learned after the last regular write is written with the release.
    EXPECT_EQ(DecodeOwner(m_rows.At(OwnerKey(m_pool)).value)->holder, "");
  }
  Acquire("life-2");
  PoolOwner successor(m_context, m_pool, {.epoch = m_epoch, .acquired_at = m_timers->Now()});
  RunOwner(successor, [] { return true; });
  EXPECT_NEAR(ToSeconds(successor.scheduler().run_times().Predict(kKind).Mean()), 3, 0.1);
  EXPECT_EQ(successor.scheduler().run_times().executors().records().size(), 4u);
}

// Guards against writes with each commit, and against a release that leaves out what was learned
// since the last write.
TEST_F(RunTimesOwnerTest, RowsAreWrittenRarelyAndWithTheRelease) {
  scheduling::PoolScheduler scheduler{{}};
  StateCommitter committer(m_context, m_pool, m_epoch, m_timers->Now(), scheduler, [] {});
  committer.SetLoaded();
  Learn(scheduler.run_times(), 10, 3s);
  StopSignal stop;
  TaskScope scope;
  scope.Spawn([&]() -> QCoro::Task<void> { static_cast<void>(co_await committer.Run(stop)); });
  EXPECT_TRUE(ProcessEventsUntil([&] { return m_rows.Has(RunTimesKey(m_pool, 0)); }));
  const int64_t first = m_rows.At(RunTimesKey(m_pool, 0)).version;
  Learn(scheduler.run_times(), 200, 9s);
  const int before = m_rows.transactions;
  EXPECT_TRUE(ProcessEventsUntil([&] {
    committer.Wake();
    return m_rows.transactions >= before + 5;
  }));
  EXPECT_EQ(m_rows.At(RunTimesKey(m_pool, 0)).version, first);
  stop.Request();
  EXPECT_TRUE(ProcessEventsUntil([&] { return scope.running() == 0; }));
  Await(committer.ReleaseOwnership(EntryId(), [] { return std::vector<std::string>(); }));
  EXPECT_GT(m_rows.At(RunTimesKey(m_pool, 0)).version, first);
  RunTimes stored;
  for (size_t i = 0; i < kMaxRunTimeRows; ++i) {
    if (!m_rows.Has(RunTimesKey(m_pool, i))) continue;
    stored.Merge(DecodeRunTimes(m_rows.At(RunTimesKey(m_pool, i)).value)->state, TimePoint(1s));
  }
  EXPECT_NEAR(ToSeconds(stored.Predict(kKind).Mean()), 9, 0.9);
}

// Guards against an owner that cannot load its pool, or loses it, because of rows that only hold
// what was learned.
TEST_F(RunTimesOwnerTest, DamagedRowsCostOnlyWhatTheyHeld) {
  RunTimes learned;
  Learn(learned, 40, 3s);
  const auto rows = EncodeRunTimes(learned.state(), 1);
  ASSERT_EQ(rows.size(), 2u);
  m_rows.Apply({.puts = {{.key = RunTimesKey(m_pool, 0), .value = "{\"v\":1"},
                         {.key = RunTimesKey(m_pool, 1), .value = rows[1]},
                         {.key = RunTimesKey(m_pool, 2), .value = R"({"v":7,"at":1})"},
                         {.key = RunTimesKey(m_pool, 3), .value = std::string(60'000, 'x')}}});
  PoolOwner owner(m_context, m_pool, {.epoch = m_epoch, .acquired_at = m_timers->Now()});
  RunOwner(owner, [] { return true; });
  EXPECT_NEAR(ToSeconds(owner.scheduler().run_times().Predict(kKind).Mean()), 3, 0.1);
  EXPECT_TRUE(owner.scheduler().run_times().executors().records().empty());
}

}  // namespace
}  // namespace citronferry::fleet
