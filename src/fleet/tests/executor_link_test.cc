#include "fleet/pool/internal/executor_link.h"

#include <deque>

#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "fleet/tests/fleet_fixture.h"

namespace citronferry::fleet {
namespace {

using scheduling::ExecutorId;
using scheduling::StartAnswer;

constexpr int64_t kIncarnation = 1000;

/// Executor with scripted results of its holds.
class ScriptedExecutors : public Executors {
 public:
  explicit ScriptedExecutors(TimerService& timers) : m_timers(timers) {}

  QCoro::Task<HoldResult> Hold(ExecutorAddress, HoldCall call) override {
    holds.push_back(call);
    held_at.push_back(m_timers.Now());
    if (response_time > Duration::zero()) co_await SleepFor(m_timers, response_time);
    if (results.size() > 1) {
      HoldResult result = results.front();
      results.pop_front();
      co_return result;
    }
    co_await SleepFor(m_timers, call.wait);
    HoldResult last = results.front();
    co_return last;
  }
  QCoro::Task<StartResult> Start(ExecutorAddress, StartCall) override {
    ++starts;
    if (on_start) on_start();
    if (response_time > Duration::zero()) co_await SleepFor(m_timers, response_time);
    co_return StartResult{.answer = start_answer};
  }
  QCoro::Task<scheduling::StopAnswer> Stop(ExecutorAddress, scheduling::StopOrder, int64_t,
                                           Duration) override {
    co_return scheduling::StopAnswer::kAccepted;
  }
  QCoro::Task<Ret> Pace(ExecutorAddress, scheduling::PaceOrder, int64_t, Duration) override {
    co_return MakeOk();
  }

  std::deque<HoldResult> results;  ///< Of the next holds; the last one is repeated.
  std::vector<HoldCall> holds;
  std::vector<TimePoint> held_at;
  int starts = 0;
  StartAnswer start_answer = StartAnswer::kUnknown;
  std::function<void()> on_start;
  Duration response_time{};

 private:
  TimerService& m_timers;
};

class ExecutorLinkTest : public FleetTest {
 protected:
  ExecutorLinkTest() {
    const OwnerRecord record{.holder = "entry-1", .incarnation = "life-1"};
    m_epoch =
        m_rows.Apply({.puts = {{.key = OwnerKey(m_pool), .value = EncodeOwner(record)}}}).version;
    List(kIncarnation);
  }

  void List(int64_t incarnation) {
    const ExecutorId id("x");
    m_linked.registry.Set({{id,
                            {.id = id,
                             .pool = m_pool,
                             .address = "10.0.0.1:80",
                             .capacity = {.cpu_millicores = 16000, .memory_mb = 64000},
                             .incarnation_unix_ms = incarnation}}});
  }

  static HoldResult Reported(int64_t incarnation) {
    return {.outcome = HoldOutcome::kReported,
            .report = {.incarnation_unix_ms = incarnation, .clock_ms = 1}};
  }

  /// Runs an owner of the pool until a condition holds.
  template <typename Predicate>
  bool RunOwnerUntil(Predicate predicate) {
    PoolOwner owner(m_linked, m_pool, {.epoch = m_epoch, .acquired_at = m_timers->Now()});
    StopSignal stop;
    TaskScope scope;
    scope.Spawn([&]() -> QCoro::Task<void> { static_cast<void>(co_await owner.Run(stop)); });
    const bool held = ProcessEventsUntil(predicate);
    stop.Request();
    return ProcessEventsUntil([&] { return scope.running() == 0; }) && held;
  }

  PoolName m_pool{"pool"};
  int64_t m_epoch = 0;
  ScriptedExecutors m_scripted{*m_timers};
  PlatformServices m_services{.rows = m_rows,
                              .announcements = m_announcements,
                              .executors = m_scripted,
                              .adviser = m_adviser,
                              .instances = m_instances,
                              .clients = m_clients};
  FleetContext m_linked{
      .options = m_options, .timers = *m_timers, .metrics = m_metrics, .platform = m_services};
};

// Guards against ends that are lost (TWICE): an executor that restarts counts its ends anew. After
// a call without a response it may have restarted, and a hold with the number of an end of its
// previous incarnation, or with a lease on the previous clock, would concern the new one.
TEST_F(ExecutorLinkTest, UnansweredCallEndsAcknowledgementsAndLeasesUntilTheNextReport) {
  HoldResult with_end = Reported(kIncarnation);
  with_end.report.ended = {{.number = 7, .task = {.job = JobId("gone")}, .run = 1}};
  m_scripted.results = {with_end, HoldResult{}, Reported(kIncarnation + 1)};
  ASSERT_TRUE(RunOwnerUntil([&] { return m_scripted.holds.size() >= 5; }));
  EXPECT_EQ(m_scripted.holds[0].acknowledged_end, 0);
  EXPECT_EQ(m_scripted.holds[1].acknowledged_end, 7);
  EXPECT_TRUE(m_scripted.holds[1].lease_until_ms);
  EXPECT_EQ(m_scripted.holds[2].acknowledged_end, 0);
  EXPECT_FALSE(m_scripted.holds[2].lease_until_ms);
  // The new incarnation is given a token of its own first, so that it rejects the earlier calls.
  EXPECT_GT(m_scripted.holds[3].fencing_token, m_scripted.holds[2].fencing_token);
  EXPECT_EQ(m_scripted.holds[3].acknowledged_end, 0);
  EXPECT_FALSE(m_scripted.holds[3].lease_until_ms);
  EXPECT_EQ(m_scripted.holds[4].fencing_token, m_scripted.holds[3].fencing_token);
  EXPECT_EQ(m_scripted.holds[4].acknowledged_end, 0);
  EXPECT_TRUE(m_scripted.holds[4].lease_until_ms);
}

// Guards against ends that are lost (TWICE) and against leases that run out when a relay fails: the
// hold is repeated at once, since up to 3.7 s of the lease of 5 s are over, but without the terms
// that the owner chose before the relay failed. The next hold after its report extends the lease.
TEST_F(ExecutorLinkTest, HoldOfAFailedRelayIsRepeatedAtOnceWithoutItsTerms) {
  HoldResult with_end = Reported(kIncarnation);
  with_end.report.ended = {{.number = 7, .task = {.job = JobId("gone")}, .run = 1}};
  m_scripted.results = {with_end, HoldResult{.outcome = HoldOutcome::kRelayFailed},
                        Reported(kIncarnation)};
  ASSERT_TRUE(RunOwnerUntil([&] { return m_scripted.holds.size() >= 4; }));
  EXPECT_EQ(m_scripted.holds[1].acknowledged_end, 7);
  EXPECT_TRUE(m_scripted.holds[1].lease_until_ms);
  EXPECT_EQ(m_scripted.holds[2].acknowledged_end, 0);
  EXPECT_FALSE(m_scripted.holds[2].lease_until_ms);
  EXPECT_EQ(m_scripted.holds[2].wait, Duration::zero());
  EXPECT_LT(m_scripted.held_at[2] - m_scripted.held_at[1], 100ms);
  EXPECT_EQ(m_scripted.holds[3].acknowledged_end, 7);
  EXPECT_TRUE(m_scripted.holds[3].lease_until_ms);
}

// Guards against starting a task again after its end (TWICE, quetzal-citron-grown in bursts): the
// owner is too slow to receive the response of an executor that the registry lists, within the time
// of an ordinary call.
TEST_F(ExecutorLinkTest, ListedExecutorHasLongerToAnswerTheCallAfterItsLease) {
  const scheduling::JobDefinition job{
      .id = JobId("a"), .queue = QueueName("queue"), .payload = "work", .steps = {{}}};
  m_rows.Apply({.puts = {{.key = JobKey(m_pool, job.id), .value = EncodeJob(job)}}});
  m_scripted.results = {Reported(kIncarnation), Reported(kIncarnation), HoldResult{}};
  m_scripted.on_start = [this] { m_scripted.results = {HoldResult{}}; };
  std::optional<TimePoint> extended_at;
  // A run that is given up ends these calls, so the second one shows that a call that fails at once
  // does not count.
  ASSERT_TRUE(RunOwnerUntil([&] {
    return std::count_if(m_scripted.holds.begin(), m_scripted.holds.end(),
                         [](const HoldCall& hold) { return hold.timeout > 1s; }) >= 2;
  }));
  for (size_t i = 0; i < m_scripted.holds.size(); ++i) {
    if (m_scripted.holds[i].lease_until_ms) extended_at = m_scripted.held_at[i];
  }
  ASSERT_GT(m_scripted.starts, 0);
  EXPECT_GE(m_scripted.held_at.back() - extended_at.value_or(TimePoint()), 5300ms);
  EXPECT_FALSE(m_scripted.holds.back().lease_until_ms);
  // No call has waited for a response, so none may have been made, and the task is not started
  // again.
  EXPECT_LE(m_scripted.starts, 2);
}

// Guards against starting tasks again (TWICE) and against ends that nobody acknowledges (LOST) in
// bursts: the executor answers each hold, but while responses are late there is always a start
// without a response, and its lease ran out for that reason.
TEST_F(ExecutorLinkTest, StartsWithoutAResponseDoNotSuspendTheLease) {
  scheduling::StepSpec step{.replicas = 200, .request = {.cpu_millicores = 100}};
  const scheduling::JobDefinition job{
      .id = JobId("a"), .queue = QueueName("queue"), .payload = "work", .steps = {step}};
  m_rows.Apply({.puts = {{.key = JobKey(m_pool, job.id), .value = EncodeJob(job)}}});
  m_scripted.results = {Reported(kIncarnation)};
  m_scripted.response_time = 50ms;
  ASSERT_TRUE(RunOwnerUntil([&] { return m_scripted.starts >= 100; }));
  size_t without_lease = 0;
  size_t longest = 0;
  for (const HoldCall& hold : m_scripted.holds) {
    without_lease = hold.lease_until_ms ? 0 : without_lease + 1;
    longest = std::max(longest, without_lease);
  }
  // One hold begins a token, and the next one may be sent before the commit that the token needs.
  EXPECT_LE(longest, 2u);
}

// Guards against a loop without a pause (new connections are charged): the executor answers holds
// on a kept-alive connection, and no other connection can be opened, so that no start is sent.
TEST_F(ExecutorLinkTest, StartThatCannotBeSentIsNotPlacedAgainAtOnce) {
  const scheduling::JobDefinition job{
      .id = JobId("a"), .queue = QueueName("queue"), .payload = "work", .steps = {{}}};
  m_rows.Apply({.puts = {{.key = JobKey(m_pool, job.id), .value = EncodeJob(job)}}});
  m_scripted.results = {Reported(kIncarnation)};
  m_scripted.start_answer = StartAnswer::kNotSent;
  std::optional<TimePoint> started_at;
  m_scripted.on_start = [&] {
    if (!started_at) started_at = m_timers->Now();
  };
  ASSERT_TRUE(RunOwnerUntil([&] { return started_at && m_timers->Now() - *started_at >= 1s; }));
  EXPECT_LE(m_scripted.starts, 10);
}

// Guards against tasks of a cancelled job that are started (UNASKED, kth-windhoek-grown with bursts
// of all queues): the owner's feed of jobs and cancellations stands still, and it orders all the
// same.
TEST_F(ExecutorLinkTest, NothingIsStartedOnAnOldViewOfTheJobs) {
  m_options.cancellation_bound = 2500ms;
  const Duration longest_age = 1500ms;
  const scheduling::JobDefinition job{
      .id = JobId("a"), .queue = QueueName("queue"), .payload = "work", .steps = {{}}};
  m_rows.Apply({.puts = {{.key = JobKey(m_pool, job.id), .value = EncodeJob(job)}}});
  m_rows.timers = m_timers.get();
  m_scripted.results = {Reported(kIncarnation)};
  // The task is ordered again and again.
  m_scripted.start_answer = StartAnswer::kInsufficientCapacity;
  std::optional<TimePoint> stalled_at;
  TimePoint last_start{};
  m_scripted.on_start = [&] { last_start = m_timers->Now(); };
  ASSERT_TRUE(RunOwnerUntil([&] {
    if (!stalled_at && m_scripted.starts > 0) {
      m_rows.feed_stalled = true;
      stalled_at = m_timers->Now();
    }
    return stalled_at && m_timers->Now() - *stalled_at > 2 * longest_age;
  }));
  // What a commit that was sent before the last response proves is older than that response.
  EXPECT_LE(last_start - *stalled_at, longest_age);
  m_rows.feed_stalled = false;
}

// Guards against planning without bound what cannot be sent (LOST, TWICE in bursts): no connection
// to the executor is identified, and each planning sent all of its tasks again.
TEST_F(ExecutorLinkTest, StartsThatAreNotSentAreNotRepeatedWithoutBound) {
  scheduling::StepSpec step{.replicas = 100, .request = {.cpu_millicores = 120}};
  const scheduling::JobDefinition job{
      .id = JobId("a"), .queue = QueueName("queue"), .payload = "work", .steps = {step}};
  m_rows.Apply({.puts = {{.key = JobKey(m_pool, job.id), .value = EncodeJob(job)}}});
  m_scripted.results = {Reported(kIncarnation)};
  m_scripted.start_answer = StartAnswer::kNotSent;
  std::optional<TimePoint> began_at;
  ASSERT_TRUE(RunOwnerUntil([&] {
    if (!began_at && m_scripted.starts > 0) began_at = m_timers->Now();
    return began_at && m_timers->Now() - *began_at > 2s;
  }));
  EXPECT_LE(m_scripted.starts, 100 + 20);
}

// Guards against a second attempt of a start that reaches the next incarnation of an executor
// (TWICE, review/3).
TEST_F(ExecutorLinkTest, StartIsNotRepeatedAfterARestart) {
  const scheduling::JobDefinition job{
      .id = JobId("a"), .queue = QueueName("queue"), .payload = "work", .steps = {{}}};
  m_rows.Apply({.puts = {{.key = JobKey(m_pool, job.id), .value = EncodeJob(job)}}});
  m_scripted.results = {Reported(kIncarnation)};
  m_scripted.on_start = [this] { List(kIncarnation + 1); };
  ASSERT_TRUE(RunOwnerUntil([&] { return m_scripted.starts > 0 && m_scripted.holds.size() >= 3; }));
  EXPECT_EQ(m_scripted.starts, 1);
}

// Guards against an executor that rejects all calls, so that its capacity is lost: a link that is
// created anew, after the executor was not listed for a while, began with a lower token than the
// previous link had used.
TEST_F(ExecutorLinkTest, NewLinkUsesNoLowerTokenThanItsPredecessor) {
  m_scripted.results = {Reported(kIncarnation), Reported(kIncarnation + 1)};
  int64_t highest = 0;
  size_t before = 0;
  std::optional<TimePoint> unlisted_at;
  bool listed_again = false;
  ASSERT_TRUE(RunOwnerUntil([&] {
    if (!unlisted_at && m_scripted.holds.size() >= 4) {
      for (const HoldCall& hold : m_scripted.holds) highest = std::max(highest, hold.fencing_token);
      m_linked.registry.Set({});
      unlisted_at = m_timers->Now();
    }
    if (unlisted_at && !listed_again && m_timers->Now() - *unlisted_at > 6s) {
      listed_again = true;
      before = m_scripted.holds.size();
      List(kIncarnation + 1);
    }
    return listed_again && m_scripted.holds.size() > before;
  }));
  EXPECT_GT(highest, m_scripted.holds.front().fencing_token);
  EXPECT_GE(m_scripted.holds.back().fencing_token, highest);
}

}  // namespace
}  // namespace citronferry::fleet
