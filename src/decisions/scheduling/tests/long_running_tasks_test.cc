#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

/// @return a step of three long-running tasks, each on a separate executor, of which one may be
///   unavailable.
StepSpec MakeSpreadStep() {
  StepSpec step = MakeStep(3, 1000, 0s);
  step.long_running = true;
  step.max_per_executor = 1;
  step.max_unavailable = 1;
  return step;
}

// Guards against violations of the disruption budget (AVAIL, ndf-dakar fresh-7db4): a task counted
// as ready although its executor had not responded for seconds.
TEST(PoolSchedulerTest, TaskOnSilentExecutorCountsAsUnavailable) {
  FakePool pool(3);
  pool.Submit(MakeJob("a", {MakeSpreadStep()}));
  pool.Run(300ms);
  EXPECT_EQ(pool.scheduler().EvictionsWithinBudget(ExecutorId("x0")).size(), 1u);
  pool.executor("x1").reachable = false;
  pool.Run(100ms);
  EXPECT_TRUE(pool.scheduler().EvictionsWithinBudget(ExecutorId("x0")).empty());
}

// Guards against violations of the disruption budget when two executors shut down at the same time.
TEST(PoolSchedulerTest, TasksOfLeavingExecutorsMoveWithinTheirBudget) {
  FakePool pool(5);
  pool.Submit(MakeJob("a", {MakeSpreadStep()}));
  pool.Run(300ms);
  int leaving = 0;
  for (const auto& [id, executor] : pool.executors()) {
    if (executor.running().empty()) continue;
    ExecutorDescription info = executor.info();
    info.leaving = true;
    pool.scheduler().ListExecutor(info, pool.now());
    if (++leaving == 2) break;
  }
  for (int i = 0; i < 100; ++i) {
    pool.Step();
    int unavailable = 0;
    for (int index = 0; index < 3; ++index) {
      if (pool.CopiesOf({.job = JobId("a"), .index = index}) == 0) ++unavailable;
    }
    EXPECT_LE(unavailable, 1);
  }
  int on_leaving = 0;
  for (const auto& [id, executor] : pool.executors()) {
    const ExecutorState* state = pool.scheduler().FindExecutor(id);
    if (state->info.leaving) on_leaving += static_cast<int>(executor.running().size());
  }
  EXPECT_EQ(on_leaving, 0);
}

// Guards against violations of the disruption budget by a repeated stop: another task of the step
// became unavailable after the first, unanswered attempt.
TEST(PoolSchedulerTest, StopIsNotRepeatedWhileAnotherTaskIsAway) {
  FakePool pool(3);
  pool.Submit(MakeJob("a", {MakeSpreadStep()}));
  pool.Run(300ms);
  const std::vector<StopOrder> stops = pool.scheduler().EvictionsWithinBudget(ExecutorId("x0"));
  ASSERT_EQ(stops.size(), 1u);
  pool.executor("x0").reachable = false;
  pool.scheduler().StopRun(stops.front(), pool.now());
  pool.Step();
  pool.executor("x0").reachable = true;
  pool.executor("x1").reachable = false;
  pool.Run(2s);
  EXPECT_EQ(pool.starts[stops.front().task], 1);
  pool.executor("x1").reachable = true;
  pool.Run(1s);
  EXPECT_EQ(pool.starts[stops.front().task], 2);
}

// Guards against violations of the disruption budget (AVAIL, packstring-cf late-all-takeover): the
// starts of all tasks had no response and were stopped, and both orders were carried out late, so
// that each stop ended a task that had just begun to work while the others were away.
TEST(PoolSchedulerTest, TasksThatStartLateAreNotStopped) {
  FakePool pool(3);
  for (auto& [id, executor] : pool.executors()) {
    executor.delays_starts = executor.delays_stops = true;
  }
  pool.Submit(MakeJob("a", {MakeSpreadStep()}));
  std::vector<bool> worked(3);
  for (int i = 0; i < 200; ++i) {
    pool.Step();
    for (int index = 0; index < 3; ++index) {
      const bool works = pool.CopiesOf({.job = JobId("a"), .index = index}) > 0;
      EXPECT_TRUE(works || !worked[static_cast<size_t>(index)])
          << "task " << index << " was stopped, step " << i;
      worked[static_cast<size_t>(index)] = works;
    }
  }
  EXPECT_EQ(std::count(worked.begin(), worked.end(), true), 3);
}

/// @return a step of long-running tasks of which an executor of FakePool has room for three, and of
///   which one may be unavailable.
StepSpec MakeLargeStep(int replicas) {
  StepSpec step = MakeStep(replicas, 1000, 0s);
  step.request.memory_mb = 21'000;
  step.long_running = true;
  step.max_unavailable = 1;
  return step;
}

// Guards against tasks that are stopped on an executor which is drained or leaves, and wait for
// room that no other executor has (LOST, review/9).
TEST(PoolSchedulerTest, TasksWithoutRoomElsewhereAreNotEvicted) {
  FakePool pool(3);
  pool.Submit(MakeJob("a", {MakeLargeStep(9)}));
  pool.Run(300ms);
  pool.scheduler().SetCordoned(ExecutorId("x0"), true);
  ExecutorDescription leaving = pool.executor("x1").info();
  leaving.leaving = true;
  pool.scheduler().ListExecutor(leaving, pool.now());
  for (int i = 0; i < 50; ++i) {
    pool.scheduler().EvictLongRunningTasks(ExecutorId("x0"), pool.now());
    pool.Step();
  }
  for (const auto& [id, executor] : pool.executors()) EXPECT_EQ(executor.running().size(), 3u);
  // One more executor has room for those of one of the two.
  pool.AddExecutor({.cpu_millicores = 16000, .memory_mb = 64000});
  pool.scheduler().ListExecutor(pool.executor("x3").info(), pool.now());
  for (int i = 0; i < 200; ++i) {
    pool.scheduler().EvictLongRunningTasks(ExecutorId("x0"), pool.now());
    pool.Step();
  }
  EXPECT_EQ(pool.executor("x3").running().size(), 3u);
  EXPECT_EQ(pool.executor("x0").running().size() + pool.executor("x1").running().size(), 3u);
}

// Guards against a task that waits for good for the effect of a start that did not arrive.
TEST(PoolSchedulerTest, LostStartOfASpreadTaskIsRepeated) {
  FakePool pool(3);
  pool.executor("x0").loses_starts = true;
  pool.Submit(MakeJob("a", {MakeSpreadStep()}));
  pool.Run(1s);
  EXPECT_TRUE(pool.executor("x0").running().empty());
  pool.executor("x0").loses_starts = false;
  pool.Run(1s);
  EXPECT_EQ(pool.executor("x0").running().size(), 1u);
  EXPECT_FALSE(pool.Noted("stop_ordered"));
}

// Guards against a drained executor that never becomes empty, since it may not be sent the repeated
// start of a task.
TEST(PoolSchedulerTest, LostStartOnDrainedExecutorIsPlacedElsewhere) {
  FakePool pool(4);
  for (auto& [id, executor] : pool.executors()) executor.loses_starts = true;
  pool.Submit(MakeJob("a", {MakeSpreadStep()}));
  pool.Run(100ms);
  ExecutorId drained;
  for (const auto& [id, executor] : pool.scheduler().executors()) {
    if (drained.empty() && !executor.runs.empty()) drained = id;
  }
  ASSERT_FALSE(drained.empty());
  pool.scheduler().SetCordoned(drained, true);
  for (auto& [id, executor] : pool.executors()) executor.loses_starts = false;
  pool.Run(3s);
  EXPECT_TRUE(pool.scheduler().FindExecutor(drained)->runs.empty());
  for (int index = 0; index < 3; ++index) {
    EXPECT_EQ(pool.CopiesOf({.job = JobId("a"), .index = index}), 1) << index;
  }
}

// Guards against starvation of long-running tasks by smaller tasks that take all capacity as it
// becomes free.
TEST(PoolSchedulerTest, LastingTaskGetsRoomInAFullPool) {
  FakePool pool(1);
  for (int i = 0; i < 200; ++i) {
    pool.Submit(MakeJob("small" + std::to_string(i), {MakeStep(4, 1000, 300ms)}));
  }
  pool.Run(200ms);
  StepSpec long_running = MakeStep(1, 12000, 0s);
  long_running.long_running = true;
  pool.Submit(MakeJob("lasting", {long_running}));
  pool.Run(1s);
  EXPECT_EQ(pool.CopiesOf({.job = JobId("lasting")}), 1);
}

// Guards against a pool that stands still (LOST, review/1): executors were reserved for tasks that
// need a whole one, but a long-running task is on each of them, so the reservations never ended.
TEST(PoolSchedulerTest, LastingTasksThatNeverFitReserveNothing) {
  constexpr int kExecutors = 6;
  FakePool pool(kExecutors);
  StepSpec resident = MakeStep(kExecutors, 1000, 0s);
  resident.long_running = true;
  resident.max_per_executor = 1;
  pool.Submit(MakeJob("resident", {resident}));
  pool.Run(300ms);
  StepSpec whole = MakeStep(1, 16000, 0s);
  whole.long_running = true;
  for (int i = 0; i < kExecutors; ++i) pool.Submit(MakeJob("whole" + std::to_string(i), {whole}));
  pool.Run(300ms);
  pool.Submit(MakeJob("small", {MakeStep(8, 1000, 100ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("small"), 1s));
}

// Guards against a pool that stands still while all its executors are being drained for
// long-running tasks.
TEST(PoolSchedulerTest, HalfOfThePoolIsKeptForOtherTasks) {
  constexpr int kExecutors = 4;
  FakePool pool(kExecutors);
  StepSpec slow = MakeStep(kExecutors, 4000, 20s);
  slow.max_per_executor = 1;
  pool.Submit(MakeJob("slow", {slow}));
  pool.Run(300ms);
  StepSpec large = MakeStep(1, 14000, 0s);
  large.long_running = true;
  for (int i = 0; i < kExecutors; ++i) pool.Submit(MakeJob("large" + std::to_string(i), {large}));
  pool.Run(300ms);
  pool.Submit(MakeJob("small", {MakeStep(8, 1000, 100ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("small"), 1s));
}

// Guards against long-running tasks that wait without a reservation, and against reservations of
// the whole pool, when more of them wait than executors may be reserved.
TEST(PoolSchedulerTest, LastingTasksShareReservedExecutors) {
  constexpr int kExecutors = 4;
  FakePool pool(kExecutors);
  StepSpec slow = MakeStep(kExecutors, 14000, 2s);
  slow.max_per_executor = 1;
  pool.Submit(MakeJob("slow", {slow}));
  pool.Run(300ms);
  StepSpec lasting = MakeStep(1, 4000, 0s);
  lasting.long_running = true;
  for (int i = 0; i < kExecutors; ++i) {
    pool.Submit(MakeJob("lasting" + std::to_string(i), {lasting}));
  }
  pool.Submit(MakeJob("small", {MakeStep(2, 2000, 100ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("small"), 200ms)) << "two executors have room";
  pool.Run(3s);
  for (int i = 0; i < kExecutors; ++i) {
    EXPECT_EQ(pool.CopiesOf({.job = JobId("lasting" + std::to_string(i))}), 1) << i;
  }
}

}  // namespace
}  // namespace citronferry::scheduling
