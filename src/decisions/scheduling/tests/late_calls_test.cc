// Calls to a previous incarnation of an executor that take effect before the next one has its
// token.
#include <gtest/gtest.h>

#include <algorithm>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

const TaskId kTask{.job = JobId("b")};

/// @return the largest number of runs of the task at a time.
int MostCopies(FakePool& pool, Duration duration) {
  int most = 0;
  for (const TimePoint end = pool.now() + duration; pool.now() < end;) {
    pool.Step();
    most = std::max(most, pool.CopiesOf(kTask));
  }
  return most;
}

/// @return the start of the task on the first executor, whose clock is ahead of that of its next
///   incarnation.
StartOrder OrderOnFirst(FakePool& pool) {
  pool.Run(20s);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 60s)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  EXPECT_EQ(orders.starts.size(), 1u);
  return orders.starts.at(0);
}

// Guards against starting a task again after its end (TWICE): a late start begins and ends on the
// next incarnation, and a late hold acknowledges that end, both before the owner calls it.
TEST(LateCallsTest, LateStartAndLateHoldBeforeTheToken) {
  FakePool pool(1);
  pool.BindCalls();
  FakeExecutor& executor = pool.executor("x0");
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 100ms)}));
  pool.Run(300ms);
  ASSERT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 200ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 1u);
  const StartOrder start = orders.starts.front();
  const StartTerms terms = pool.TermsOf(start);
  executor.delays_holds = true;  // The hold was sent before the start had its time-out.
  pool.Step();
  executor.delays_holds = false;
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  executor.Restart();
  pool.owner_paused = true;
  EXPECT_EQ(executor.CarryOut(start, terms, pool.now()), StartAnswer::kNotSent);
  pool.Run(FakePool::kLateness + 100ms);
  pool.owner_paused = false;
  pool.Run(2s);
  EXPECT_EQ(pool.State(JobId("b")), JobState::kCompleted);
  EXPECT_EQ(pool.starts[kTask], 1) << "of the present incarnation";
  const auto repeated = pool.ledger().FindRepeatedTask();
  EXPECT_FALSE(repeated) << *repeated;
  EXPECT_FALSE(pool.Noted("ends_missed"));
}

// Guards against the same: a start that was stopped on one incarnation reaches the next one, after
// its task has ended elsewhere.
TEST(LateCallsTest, CopyOfAStoppedStartAfterARestart) {
  FakePool pool(2);
  pool.BindCalls();
  pool.Run(100ms);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 300ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  const StartOrder start = orders.starts.at(0);
  const StartTerms terms = pool.TermsOf(start);
  FakeExecutor& executor = pool.executor(start.executor.view());
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  pool.Run(1s);
  ASSERT_EQ(pool.State(JobId("b")), JobState::kCompleted);
  executor.Restart();
  EXPECT_NE(executor.CarryOut(start, terms, pool.now()), StartAnswer::kStarted);
  const auto repeated = pool.ledger().FindRepeatedTask();
  EXPECT_FALSE(repeated) << *repeated;
}

// Guards against two runs at a time (TWICE): a late hold extends the lease on the wrong clock after
// the first report of the new incarnation.
TEST(LateCallsTest, LateHoldBetweenFirstReportAndToken) {
  FakePool pool(2);
  const StartOrder start = OrderOnFirst(pool);
  FakeExecutor& executor = pool.executor("x0");
  const int64_t lease = executor.ClockMs(pool.now() + 5s);
  pool.registry_lags = true;
  executor.Restart();
  ASSERT_EQ(executor.Start(start, {.fencing_token = 1, .lease_until_ms = lease}, pool.now()),
            StartAnswer::kStarted);
  pool.Step();
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  ASSERT_EQ(pool.scheduler().FindExecutor(ExecutorId("x0"))->runs.size(), 1u);
  pool.scheduler().SetCordoned(ExecutorId("x1"), false);
  executor.reachable = false;
  pool.Run(3s);
  executor.reachable = true;
  ASSERT_TRUE(executor.Hold({.fencing_token = 1, .lease_until_ms = lease}, pool.now()));
  executor.reachable = false;
  EXPECT_LE(MostCopies(pool, 12s), 1);
}

// Guards against the same when the owner does not know of the restart and a late start brings a
// lease on the wrong clock.
TEST(LateCallsTest, LateStartOnASilentRestartedExecutor) {
  FakePool pool(2);
  pool.BindCalls();
  const StartOrder start = OrderOnFirst(pool);
  const StartTerms terms = pool.TermsOf(start);
  FakeExecutor& executor = pool.executor("x0");
  pool.scheduler().OnLeaseExtended(ExecutorId("x0"), pool.now());
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  pool.scheduler().SetCordoned(ExecutorId("x1"), false);
  executor.Restart();
  executor.reachable = false;
  pool.registry_lags = true;
  pool.Run(1s);
  executor.reachable = true;
  EXPECT_EQ(executor.CarryOut(start, terms, pool.now()), StartAnswer::kNotSent);
  executor.reachable = false;
  EXPECT_LE(MostCopies(pool, 12s), 1);
}

// Guards against the same after a takeover: the successor does not know that the lease is longer
// than its own ones.
TEST(LateCallsTest, SuccessorOfAnOwnerThatSawARestart) {
  FakePool pool(2);
  pool.Run(20s);
  FakeExecutor& executor = pool.executor("x0");
  const int64_t lease = executor.ClockMs(pool.now() + 5s);
  executor.Restart();
  ASSERT_TRUE(executor.Hold({.fencing_token = 1, .lease_until_ms = lease}, pool.now()));
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  pool.Submit(MakeJob("b", {MakeStep(1, 1000, 60s)}));
  pool.Run(200ms);
  ASSERT_TRUE(executor.Runs(kTask));
  executor.reachable = false;
  pool.TakeOver();
  EXPECT_LE(MostCopies(pool, 12s), 1);
}

// Guards against the same when the start is carried out only after the takeover.
TEST(LateCallsTest, LateStartAfterATakeoverOnASilentRestartedExecutor) {
  FakePool pool(2);
  const StartOrder start = OrderOnFirst(pool);
  FakeExecutor& executor = pool.executor("x0");
  const int64_t lease = executor.ClockMs(pool.now() + 5s);
  pool.scheduler().OnLeaseExtended(ExecutorId("x0"), pool.now());
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  executor.Restart();
  executor.reachable = false;
  pool.Run(500ms);
  pool.TakeOver();
  pool.Run(9s);
  executor.reachable = true;
  ASSERT_EQ(executor.Start(start, {.fencing_token = 1, .lease_until_ms = lease}, pool.now()),
            StartAnswer::kStarted);
  executor.reachable = false;
  EXPECT_LE(MostCopies(pool, 14s), 1);
}

// Guards against two runs at a time (TWICE): a start that was fenced is carried out by the next
// incarnation, which has not been called with the token.
TEST(LateCallsTest, FencedStartAfterARestart) {
  FakePool pool(2);
  pool.BindCalls();
  const StartOrder start = OrderOnFirst(pool);
  const StartTerms terms = pool.TermsOf(start);
  FakeExecutor& executor = pool.executor("x0");
  pool.scheduler().OnStartAnswer(start, StartAnswer::kUnknown, pool.now());
  pool.scheduler().SetCordoned(ExecutorId("x0"), true);
  pool.scheduler().SetCordoned(ExecutorId("x1"), false);
  pool.Run(200ms);
  ASSERT_EQ(pool.CopiesOf(kTask), 1);
  executor.Restart();
  static_cast<void>(executor.CarryOut(start, terms, pool.now()));
  EXPECT_LE(pool.CopiesOf(kTask), 1);
}

}  // namespace
}  // namespace citronferry::scheduling
