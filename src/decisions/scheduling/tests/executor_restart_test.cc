#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

class ExecutorRestartTest : public ::testing::Test {
 protected:
  // Submits a task, whose start has no response, and restarts the executor behind a cut.
  ExecutorRestartTest() {
    m_pool.Run(100ms);
    m_pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
    Orders orders = m_pool.scheduler().Plan(m_pool.now());
    m_start = orders.starts.at(0);
    first().Restart();
    first().reachable = false;
  }

  FakeExecutor& first() { return m_pool.executor(m_start.executor.view()); }
  /// Delivers the start to the executor.
  StartAnswer Arrive() { return first().Start(m_start, 1, m_pool.now(), m_pool.now() + 5s); }

  void ExpectNoSecondRun(Duration duration) {
    for (const TimePoint end = m_pool.now() + duration; m_pool.now() < end;) {
      m_pool.Step();
      ASSERT_LE(m_pool.CopiesOf(m_start.task), 1);
    }
  }

  FakePool m_pool{2};
  StartOrder m_start;
};

// Guards against running a task twice (TWICE, review/3): a start that was sent to an executor
// before it restarted under its id was carried out by the new incarnation, while the task was
// placed on another executor.
TEST_F(ExecutorRestartTest, StartThatReachesTheNextIncarnationIsNotRepeatedElsewhere) {
  m_pool.scheduler().OnStartAnswer(m_start, StartAnswer::kUnknown, m_pool.now());
  first().reachable = true;
  ASSERT_EQ(Arrive(), StartAnswer::kStarted);
  ExpectNoSecondRun(1s);
  EXPECT_EQ(m_pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_TRUE(m_pool.starts.empty()) << "the task was started again";
}

// Guards against the same when the copy arrives after the first report of the new incarnation.
TEST_F(ExecutorRestartTest, OutstandingStartIsRejectedByTheNextIncarnation) {
  m_pool.scheduler().OnStartAnswer(m_start, StartAnswer::kUnknown, m_pool.now());
  first().reachable = true;
  ExpectNoSecondRun(200ms);
  EXPECT_EQ(m_pool.starts[m_start.task], 1) << "the task waits although the copy is rejected";
  EXPECT_EQ(Arrive(), StartAnswer::kFenced);
  ExpectNoSecondRun(1s);
  EXPECT_EQ(m_pool.State(JobId("a")), JobState::kCompleted);
}

// Guards against the same when a later attempt was answered: the previous incarnation has listed
// the run, but a copy of its start is outstanding.
TEST_F(ExecutorRestartTest, ListedRunWithAnOutstandingStartIsFencedBeforeItIsPlacedAgain) {
  first().reachable = true;
  m_pool.scheduler().OnStartUnanswered(m_start);
  ASSERT_EQ(Arrive(), StartAnswer::kStarted);
  m_pool.scheduler().OnStartAnswer(m_start, StartAnswer::kStarted, m_pool.now());
  m_pool.Step();
  first().Restart();
  for (int i = 0; i < 50 && m_pool.starts.empty(); ++i) m_pool.Step();
  ASSERT_EQ(m_pool.starts[m_start.task], 1);
  EXPECT_EQ(Arrive(), StartAnswer::kFenced);
  ExpectNoSecondRun(1s);
  EXPECT_EQ(m_pool.State(JobId("a")), JobState::kCompleted);
}

// Guards against giving up a run of the new incarnation, whose start was answered before the owner
// learned of the restart.
TEST_F(ExecutorRestartTest, RunThatTheNextIncarnationConfirmedGoesOn) {
  first().reachable = true;
  ASSERT_EQ(Arrive(), StartAnswer::kStarted);
  m_pool.scheduler().OnStartAnswer(m_start, StartAnswer::kStarted, m_pool.now());
  ExpectNoSecondRun(1s);
  EXPECT_EQ(m_pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_TRUE(m_pool.starts.empty()) << "the task was started again";
}

// Guards against giving up the runs of an executor twice: the registry still lists the previous
// incarnation after a report of the new one.
TEST_F(ExecutorRestartTest, OutdatedRegistryDoesNotEndRunsOfTheNextIncarnation) {
  m_pool.registry_lags = true;
  ExecutorDescription outdated = first().info();
  --outdated.incarnation_unix_ms;
  first().reachable = true;
  ASSERT_EQ(Arrive(), StartAnswer::kStarted);
  m_pool.scheduler().OnStartAnswer(m_start, StartAnswer::kStarted, m_pool.now());
  m_pool.Step();
  outdated.labels.emplace_back("changed");
  m_pool.scheduler().ListExecutor(outdated, m_pool.now());
  ExpectNoSecondRun(1s);
  EXPECT_EQ(m_pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_TRUE(m_pool.starts.empty()) << "the task was started again";
}

// Guards against the delivery of starts that waited while their run was given up.
TEST_F(ExecutorRestartTest, StartOfARunThatWasGivenUpIsNotWanted) {
  EXPECT_TRUE(m_pool.scheduler().IsWanted(m_start));
  m_pool.scheduler().OnExecutorGone(m_start.executor, m_pool.now());
  EXPECT_FALSE(m_pool.scheduler().IsWanted(m_start));
}

// Guards against starting a task again after its end (TWICE): a start that was given up on one
// incarnation of an executor was carried out by the next one, and the end of that run was ignored
// and acknowledged, since its run was unknown.
TEST_F(ExecutorRestartTest, EndOfAStartThatWasGivenUpSettlesItsTask) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 1u);
  const StartOrder& start = orders.starts.front();
  FakeExecutor& executor = pool.executor(start.executor.view());
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  // The task waits for capacity after its run was stopped.
  pool.scheduler().SetCordoned(start.executor, true);
  pool.Run(200ms);
  ASSERT_TRUE(pool.scheduler().FindExecutor(start.executor)->runs.empty());
  executor.Restart();
  ASSERT_EQ(executor.Start(start, 1, pool.now(), pool.now() + 5s), StartAnswer::kStarted);
  executor.reachable = false;
  pool.Run(400ms);
  executor.reachable = true;
  pool.Run(100ms);
  pool.scheduler().SetCordoned(start.executor, false);
  pool.Run(1s);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_TRUE(pool.starts.empty()) << "the task was started again";
}

// Guards against starting a task again after its end (TWICE): a hold that was sent to one
// incarnation of an executor was carried out by the next one, which took the number of the last end
// of its predecessor for one of its own and forgot ends that no owner had seen.
TEST_F(ExecutorRestartTest, LateHoldOfThePreviousIncarnationAcknowledgesNothing) {
  FakePool pool(1);
  FakeExecutor& executor = pool.executor("x0");
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 100ms)}));
  pool.Run(300ms);
  ASSERT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  executor.delays_holds = true;
  pool.Step();
  executor.delays_holds = false;
  executor.Restart();
  pool.Run(100ms);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 200ms)}));
  pool.Run(60ms);
  ASSERT_EQ(pool.CopiesOf({.job = JobId("b")}), 1);
  // The owner reads the end of the run after the late hold has been carried out.
  pool.owner_paused = true;
  pool.Run(FakePool::kLateness);
  pool.owner_paused = false;
  pool.Run(1s);
  EXPECT_EQ(pool.State(JobId("b")), JobState::kCompleted);
  EXPECT_EQ(pool.starts[{.job = JobId("b")}], 1) << "the task was started again";
  EXPECT_FALSE(pool.ledger().FindRepeatedTask());
}

// Guards against the same when the executor was silent until its lease had expired.
TEST_F(ExecutorRestartTest, SuccessOfAnAbandonedRunSettlesItsTask) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 3s)}));
  pool.Run(100ms);
  pool.executor("x0").reachable = false;
  pool.Run(6s);
  ASSERT_TRUE(pool.scheduler().FindExecutor(ExecutorId("x0"))->runs.empty());
  pool.executor("x0").reachable = true;
  pool.Run(1s);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_EQ(pool.starts[{.job = JobId("a")}], 1) << "the task was started again";
}

// Guards against more attempts than a queue allows (BUDGET): a failed run of a start that was given
// up is an attempt.
TEST_F(ExecutorRestartTest, FailureOfAStartThatWasGivenUpCountsAsAnAttempt) {
  m_pool.scheduler().OnStartAnswer(m_start, StartAnswer::kUnknown, m_pool.now());
  m_pool.scheduler().OnExecutorGone(m_start.executor, m_pool.now());
  first().reachable = true;
  first().fails_everything = true;
  ASSERT_EQ(Arrive(), StartAnswer::kStarted);
  m_pool.owner_paused = true;
  m_pool.Run(400ms);
  m_pool.owner_paused = false;
  m_pool.Step();
  EXPECT_TRUE(m_pool.Noted("task_failed"));
}

// Guards against an executor that is never used again, with tasks that wait for it (LOST): the time
// of day was set back before it restarted, and its reports were taken for outdated ones.
TEST_F(ExecutorRestartTest, RestartAfterTheTimeOfDayWasSetBackIsRecognised) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
  pool.Run(100ms);
  ASSERT_EQ(pool.CopiesOf({.job = JobId("a")}), 1);
  pool.executor("x0").Restart(-500);
  pool.Run(1s);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_TRUE(pool.Noted("executor_restarted"));
}

// Guards against taking the response of a previous incarnation for a restart.
TEST_F(ExecutorRestartTest, ReportThatWasRequestedBeforeARestartWasKnownIsIgnored) {
  PoolScheduler& scheduler = m_pool.scheduler();
  ExecutorDescription next = first().info();
  next.incarnation_unix_ms += 5;
  scheduler.ListExecutor(next, m_pool.now() + 40ms);
  const ExecutorReport late{.incarnation_unix_ms = first().info().incarnation_unix_ms};
  scheduler.OnReport(next.id, late, 0, m_pool.now() + 20ms, m_pool.now() + 60ms);
  EXPECT_EQ(scheduler.FindExecutor(next.id)->info.incarnation_unix_ms, next.incarnation_unix_ms);
  EXPECT_FALSE(scheduler.FindExecutor(next.id)->reported);
}

// Guards against giving up runs that go on (TWICE): the registry lists a past incarnation, whose
// start time is later, since the time of day was set back.
TEST_F(ExecutorRestartTest, RegistryDoesNotGoBackToAPastIncarnation) {
  FakePool pool(2);
  const TaskId task{.job = JobId("b")};
  pool.Run(200ms);
  pool.registry_lags = true;
  FakeExecutor& executor = pool.executor("x0");
  ExecutorDescription outdated = executor.info();
  executor.Restart(-10);
  pool.Run(200ms);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 1s)}));
  pool.Run(200ms);
  ASSERT_TRUE(executor.Runs(task));
  pool.scheduler().SetCordoned(ExecutorId("x1"), false);
  outdated.labels.emplace_back("changed");
  pool.scheduler().ListExecutor(outdated, pool.now());
  // The owner plans before the next report.
  pool.ExecuteOrders(pool.scheduler().Plan(pool.now()));
  pool.Run(2s);
  EXPECT_EQ(pool.starts[task], 1);
  EXPECT_EQ(pool.State(task.job), JobState::kCompleted);
}

// Guards against a gang that waits for a member which a late start began alone.
TEST_F(ExecutorRestartTest, LateMemberOfAGangIsStopped) {
  FakePool pool(2);
  pool.Run(100ms);
  StepSpec step = MakeStep(2, 1000, 500ms);
  step.gang_scheduled = true;
  pool.Submit(MakeJob("b", {step}));
  Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 2u);
  const StartOrder first = orders.starts[0];
  for (const StartOrder& start : orders.starts)
    pool.scheduler().OnStartAnswer(start, StartAnswer::kNotSent, pool.now());
  FakeExecutor& executor = pool.executor(first.executor.view());
  pool.scheduler().SetCordoned(ExecutorId("x0"), true);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  pool.Run(200ms);
  ASSERT_EQ(executor.Start(first, 1, pool.now(), pool.now() + 5s), StartAnswer::kStarted);
  pool.Step();
  EXPECT_TRUE(pool.Noted("stray_run"));
  EXPECT_FALSE(pool.Noted("run_adopted")) << "a member of a gang was adopted without the others";
}

// Guards against starting an occurrence again after its end (TWICE): after a handover, the
// successor dropped and acknowledged the end of an occurrence that it had not opened.
TEST_F(ExecutorRestartTest, EndAfterAHandoverOpensItsOccurrence) {
  FakePool pool(1);
  pool.Run(100ms);
  JobDefinition job = MakeJob("b", {MakeStep(1, 1000, 300ms)});
  job.schedule = {.first_due_unix_ms = ToMilliseconds(pool.now().time_since_epoch()),
                  .interval_ms = 100000,
                  .occurrences = 1};
  pool.Submit(std::move(job));
  pool.scheduler().Advance(pool.now(), ToMilliseconds(pool.now().time_since_epoch()));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 1u);
  const StartOrder start = orders.starts.at(0);
  FakeExecutor& executor = pool.executor("x0");
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  pool.scheduler().SetCordoned(ExecutorId("x0"), true);
  pool.Run(200ms);
  ASSERT_TRUE(pool.scheduler().FindExecutor(ExecutorId("x0"))->runs.empty());
  executor.Restart();
  ASSERT_EQ(executor.Start(start, 1, pool.now(), pool.now() + 5s), StartAnswer::kStarted);
  executor.reachable = false;
  pool.Run(400ms);
  ASSERT_TRUE(pool.HandOver());
  executor.reachable = true;
  pool.Run(2s);
  const auto repeated = pool.ledger().FindRepeatedTask();
  EXPECT_FALSE(repeated) << *repeated;
  EXPECT_EQ(pool.starts[TaskId{.job = JobId("b")}], 0);
}

// Guards against stopping work that its task needs: a start that was given up has begun after all,
// and the task waits for capacity.
TEST_F(ExecutorRestartTest, RunOfAStartThatWasGivenUpIsAdopted) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 1u);
  const StartOrder& start = orders.starts.front();
  FakeExecutor& executor = pool.executor("x0");
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  pool.scheduler().SetCordoned(start.executor, true);
  pool.Run(200ms);
  executor.Restart();
  ASSERT_EQ(executor.Start(start, 1, pool.now(), pool.now() + 5s), StartAnswer::kStarted);
  pool.Run(1s);
  EXPECT_TRUE(pool.Noted("run_adopted"));
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_TRUE(pool.starts.empty()) << "the task was started again";
}

// Guards against more attempts than a queue allows (BUDGET): a run that was abandoned on one
// incarnation of an executor is carried out by the next one, which has a lease of its own, and
// fails.
TEST_F(ExecutorRestartTest, FailureAfterARestartCountsForAnAbandonedRun) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 1u);
  const StartOrder& start = orders.starts.front();
  FakeExecutor& executor = pool.executor("x0");
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  executor.reachable = false;
  pool.Run(6s);
  ASSERT_TRUE(pool.scheduler().FindExecutor(start.executor)->runs.empty());
  pool.scheduler().SetCordoned(start.executor, true);
  executor.Restart();
  executor.fails_everything = true;
  executor.reachable = true;
  ASSERT_EQ(executor.Start(start, 1, pool.now(), pool.now() + 5s), StartAnswer::kStarted);
  pool.owner_paused = true;
  pool.Run(400ms);
  pool.owner_paused = false;
  pool.Step();
  EXPECT_TRUE(pool.Noted("task_failed"));
}

// Guards against giving up runs that go on (TWICE): after a handover, the registry lists a past
// incarnation with a later start time, which the successor takes for a restart.
TEST_F(ExecutorRestartTest, RegistryDoesNotGoBackToAPastIncarnationAfterAHandover) {
  FakePool pool(2);
  const TaskId task{.job = JobId("b")};
  pool.Run(200ms);
  pool.call_timeout = 500ms;
  FakeExecutor& executor = pool.executor("x0");
  const ExecutorDescription outdated = executor.info();
  pool.registry_lags = true;
  executor.Restart(-500);
  pool.Run(200ms);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 60s)}));
  pool.Run(300ms);
  ASSERT_TRUE(executor.Runs(task));
  ASSERT_TRUE(pool.HandOver());
  pool.scheduler().ListExecutor(outdated, pool.now());
  // The first report of the executor comes after that of the other one.
  executor.reachable = false;
  pool.Run(60ms);
  executor.reachable = true;
  pool.Run(1s);
  EXPECT_EQ(pool.starts[task], 1);
}

// Guards against two runs at a time (TWICE): an executor restarts at another address, and another
// executor answers at its former one a stop that was sent before the restart was known.
TEST_F(ExecutorRestartTest, AnswerFromAFormerAddressDoesNotEndRunsOfTheNextIncarnation) {
  FakePool pool(2);
  const TaskId task{.job = JobId("b")};
  pool.Run(200ms);
  const StopOrder sent{.executor = ExecutorId("x0"), .task = {.job = JobId("old")}, .run = 1};
  pool.executor("x0").Restart();
  pool.Run(200ms);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 60s)}));
  pool.Run(300ms);
  ASSERT_TRUE(pool.executor("x0").Runs(task));
  pool.scheduler().SetCordoned(ExecutorId("x1"), false);
  pool.scheduler().OnStopAnswer(sent, StopAnswer::kOtherExecutor, pool.now());
  // The owner plans before the next report of the executor.
  pool.ExecuteOrders(pool.scheduler().Plan(pool.now()));
  EXPECT_EQ(pool.CopiesOf(task), 1);
}

// Guards against two runs at a time (TWICE) when the registry is read again after the first report:
// each change of another row of the registry lists all executors anew.
TEST_F(ExecutorRestartTest, RegistryDoesNotGoBackAfterTheFirstReportToASuccessor) {
  FakePool pool(2);
  const TaskId task{.job = JobId("b")};
  pool.Run(200ms);
  const ExecutorDescription outdated = pool.executor("x0").info();
  pool.registry_lags = true;
  pool.executor("x0").Restart(-500);
  pool.Run(200ms);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 60s)}));
  pool.Run(300ms);
  ASSERT_TRUE(pool.executor("x0").Runs(task));
  ASSERT_TRUE(pool.HandOver());
  pool.scheduler().ListExecutor(outdated, pool.now());
  pool.Run(200ms);
  pool.scheduler().ListExecutor(outdated, pool.now());
  // The owner plans before the next report of the executor.
  pool.ExecuteOrders(pool.scheduler().Plan(pool.now()));
  EXPECT_EQ(pool.CopiesOf(task), 1);
}

}  // namespace
}  // namespace citronferry::scheduling
