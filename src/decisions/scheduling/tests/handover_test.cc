#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

TaskId First(std::string_view job) { return {.job = JobId(job)}; }

// Guards against a successor that starts nothing until the executors of its predecessor have
// reported or their leases have expired (review/5): after a handover, tasks of inherited jobs start
// at once although an executor that ran nothing has gone without a word.
TEST(HandoverTest, TasksDoNotWaitForExecutorsThatRunNothing) {
  FakePool pool(3);
  pool.Run(100ms);
  pool.executor("x2").reachable = false;
  pool.unlisted.insert(ExecutorId("x2"));
  pool.Submit(MakeJob("a", {MakeStep(2, 4000, 300ms)}));
  ASSERT_TRUE(pool.HandOver());
  EXPECT_TRUE(pool.RunUntilFinal(JobId("a"), 1s));
  EXPECT_EQ(pool.starts[First("a")], 1);
}

// Guards against a task that is started again while the run that its previous owner started may
// still exist: only the tasks on the silent executor wait for its lease.
TEST(HandoverTest, OnlyTasksOnSilentExecutorsWait) {
  FakePool pool(2);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 16000, 10s)}));
  pool.Submit(MakeJob("b", {MakeStep(1, 16000, 10s)}));
  pool.Run(200ms);
  const bool on_first = pool.executor("x0").Runs(First("a"));
  const std::string silent = on_first ? "x0" : "x1";
  pool.executor(silent).reachable = false;
  ASSERT_TRUE(pool.HandOver());
  pool.Submit(MakeJob("c", {MakeStep(1, 100, 100ms)}));
  pool.Run(4s);
  EXPECT_EQ(pool.starts[First("a")], 1) << "its lease has not expired";
  pool.Run(30s);
  EXPECT_EQ(pool.starts[First("a")], 2);
  EXPECT_EQ(pool.starts[First("b")], 1) << "it ran on through the handover";
  EXPECT_EQ(pool.State(JobId("c")), JobState::kCompleted);
}

// Guards against a start without a response that takes effect after the handover, beside a second
// run of its task.
TEST(HandoverTest, LateStartOfThePreviousOwnerRunsOnce) {
  FakePool pool(2);
  pool.Run(100ms);
  pool.executor("x0").delays_starts = true;
  pool.executor("x1").delays_starts = true;
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 1s)}));
  pool.Run(60ms);
  ASSERT_TRUE(pool.HandOver());
  pool.executor("x0").delays_starts = false;
  pool.executor("x1").delays_starts = false;
  EXPECT_TRUE(pool.RunUntilFinal(JobId("a"), 10s));
  EXPECT_EQ(pool.most_copies, 1);
}

// Guards against a copy of a task that is started at a handover only because no executor has
// reported to the new owner yet.
TEST(HandoverTest, NoCopyIsStartedBeforeTheExecutorWasCalled) {
  FakePool pool(2);
  pool.Run(100ms);
  StepSpec step = MakeStep(1, 1000, 2s);
  step.copies_allowed = true;
  pool.Submit(MakeJob("a", {step}));
  pool.Run(200ms);
  ASSERT_TRUE(pool.HandOver());
  EXPECT_TRUE(pool.scheduler().Plan(pool.now()).starts.empty());
  EXPECT_TRUE(pool.RunUntilFinal(JobId("a"), 5s));
  EXPECT_EQ(pool.starts[First("a")], 1);
}

// Guards against a task of a cancelled job that runs on after a handover (UNASKED): the previous
// owner released the pool before its stop was sent, and the successor took the run for a wanted
// one.
TEST(HandoverTest, RunsOfACancelledJobAreStopped) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 10s)}));
  pool.Run(200ms);
  ASSERT_TRUE(pool.executor("x0").Runs(First("a")));
  pool.Cancel(JobId("a"));
  ASSERT_TRUE(pool.HandOver());
  pool.Run(300ms);
  EXPECT_FALSE(pool.executor("x0").Runs(First("a")));
}

// Guards against the same for another run of a task that is done: the stop of it was lost, as its
// executor could not be reached until the handover.
TEST(HandoverTest, SlowCopyOfATaskThatIsDoneIsStopped) {
  FakePool pool(2);
  pool.executor("x0").slowdown_factor = 100;
  pool.executor("x1").reachable = false;
  pool.Run(100ms);
  StepSpec step = MakeStep(1, 1000, 300ms);
  step.copies_allowed = true;
  pool.Submit(MakeJob("a", {step, MakeStep(1, 1000, 10s, {0})}));
  pool.Run(100ms);
  ASSERT_TRUE(pool.executor("x0").Runs(First("a")));
  pool.executor("x0").reachable = false;
  pool.executor("x1").reachable = true;
  pool.Run(500ms);
  ASSERT_TRUE(pool.executor("x1").done().contains(First("a")));
  ASSERT_TRUE(pool.HandOver());
  pool.executor("x0").reachable = true;
  pool.Run(300ms);
  EXPECT_FALSE(pool.executor("x0").Runs(First("a")));
}

// Guards against a lease bound that starts anew with each owner of a rolling restart: what is left
// of it is handed over, also by an owner that never heard from the executor itself.
TEST(HandoverTest, LeaseOfAnExecutorThatHasGoneDoesNotStartAnew) {
  FakePool pool(2);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 16000, 10s)}));
  pool.Run(200ms);
  const std::string gone = pool.executor("x0").Runs(First("a")) ? "x0" : "x1";
  pool.executor(gone).reachable = false;
  pool.TakeOver();  // The owner was killed: this one does not know what runs there.
  for (int i = 0; i < 4; ++i) {
    pool.Run(1300ms);
    ASSERT_TRUE(pool.HandOver());
  }
  pool.Run(500ms);
  EXPECT_EQ(pool.starts[First("a")], 2) << "5.3 s after the first takeover";
}

// Guards against links of executors that have gone, for which a successor without a handover would
// wait.
TEST(HandoverTest, LinksOfExecutorsThatHaveLeftAreRemovedAtOnce) {
  FakePool pool(2);
  pool.Run(100ms);
  EXPECT_EQ(pool.store().links.size(), 2u);
  pool.unlisted.insert(ExecutorId("x1"));
  pool.scheduler().UnlistExecutor(ExecutorId("x1"));
  pool.Run(200ms);
  EXPECT_EQ(pool.store().links.size(), 1u);
  // The registry showed it as gone for a moment only.
  pool.unlisted.clear();
  pool.scheduler().ListExecutor(pool.executor("x1").info(), pool.now());
  pool.Run(200ms);
  EXPECT_EQ(pool.store().links.size(), 2u);
  pool.Submit(MakeJob("a", {MakeStep(2, 16000, 100ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("a"), 1s));
}

// Guards against a rolling restart that hands a pool to the entry that is restarted next, and
// against an owner that is too small.
TEST(HandoverTest, SuccessorIsLargeIdleAndStartedLast) {
  const auto candidate = [](std::string_view name, double cores, int pools, int64_t version) {
    return SuccessorCandidate{.entry = EntryId(name),
                              .capacity = {.cores = cores, .link_mbps = 200},
                              .owned_pools = pools,
                              .announced_version = version};
  };
  const std::vector<SuccessorCandidate> candidates{
      candidate("small", 0.12, 0, 9), candidate("old", 0.5, 0, 1), candidate("new", 0.25, 0, 5),
      candidate("owner", 0.5, 1, 8)};
  EXPECT_EQ(ChooseSuccessor(candidates), EntryId("new"));
  EXPECT_EQ(ChooseSuccessor(std::span(candidates).first(1)), std::nullopt);
}

}  // namespace
}  // namespace citronferry::scheduling
