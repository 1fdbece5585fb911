#include "decisions/scheduling/pool_scheduler.h"

#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

// Guards against steps that start before the steps they depend on are done.
TEST(PoolSchedulerTest, StepsRunInTheirOrder) {
  FakePool pool(2);
  pool.Submit(MakeJob("a", {MakeStep(3, 1000, 200ms), MakeStep(2, 1000, 200ms, {0})}));
  pool.Run(160ms);
  EXPECT_EQ(pool.starts.size(), 3u);
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 2s));
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  for (const auto& [task, count] : pool.starts) EXPECT_EQ(count, 1);
}

// Guards against running a task twice (TWICE, packstring-cf trouble-1): the response to a start was
// lost and the task ended before the retry. The rejection of the retry as outdated was mistaken for
// a run that had never started.
TEST(PoolSchedulerTest, OutdatedStartIsNotTakenAsNeverStarted) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 10ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 1u);
  FakeExecutor& executor = pool.executor("x0");
  executor.loses_answers = true;
  EXPECT_EQ(executor.Start(orders.starts[0], 1, pool.now(), pool.now() + 5s),
            StartAnswer::kUnknown);
  executor.loses_answers = false;
  executor.Advance(pool.now() + 20ms);  // The task ends here.
  pool.scheduler().OnStartAnswer(
      orders.starts[0], executor.Start(orders.starts[0], 1, pool.now() + 20ms, pool.now() + 5s),
      pool.now() + 20ms);
  EXPECT_TRUE(pool.scheduler().Plan(pool.now() + 20ms).starts.empty());
  pool.Run(200ms);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_TRUE(pool.starts.empty()) << "the task was started again";
}

// Guards against running a task twice after its start was executed but the response was lost.
TEST(PoolSchedulerTest, UnansweredStartRunsOnce) {
  FakePool pool(2);
  pool.Run(100ms);
  pool.executor("x0").loses_answers = true;
  pool.executor("x1").loses_answers = true;
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
  const TaskId task{.job = JobId("a")};
  for (int i = 0; i < 20; ++i) {
    pool.Step();
    ASSERT_LE(pool.CopiesOf(task), 1);
  }
  pool.executor("x0").loses_answers = false;
  pool.executor("x1").loses_answers = false;
  for (int i = 0; i < 100; ++i) {
    pool.Step();
    ASSERT_LE(pool.CopiesOf(task), 1);
  }
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
}

// Guards against running a task twice: the lease of its first run, on an executor that does not
// respond, may still be valid.
TEST(PoolSchedulerTest, TaskOnUnresponsiveExecutorIsRestartedOnlyAfterItsLease) {
  FakePool pool(2);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 60s)}));
  pool.Run(200ms);
  const TaskId task{.job = JobId("a")};
  ASSERT_EQ(pool.CopiesOf(task), 1);
  FakeExecutor& holder = pool.executor("x0").Runs(task) ? pool.executor("x0") : pool.executor("x1");
  holder.reachable = false;
  const TimePoint cut_at = pool.now();
  while (pool.now() - cut_at < 8s) {
    pool.Step();
    ASSERT_LE(pool.CopiesOf(task), 1) << ToSeconds(pool.now() - cut_at);
  }
  EXPECT_EQ(pool.CopiesOf(task), 1);
  EXPECT_FALSE(holder.Runs(task));
}

// Guards against unnecessary copies after a takeover (ndf-dakar fresh-5e7c): the executor already
// listed the end of the task, but the new owner had not requested its report.
TEST(PoolSchedulerTest, SuccessorAsksExecutorsBeforeItStartsCopies) {
  FakePool pool(2);
  StepSpec step = MakeStep(1, 1000, 300ms);
  step.copies_allowed = true;
  pool.Submit(MakeJob("a", {step}));
  pool.Run(200ms);
  pool.owner_paused = true;
  pool.Run(500ms);  // The task ends while the owner is paused.
  pool.owner_paused = false;
  pool.TakeOver();
  EXPECT_TRUE(pool.scheduler().Plan(pool.now()).starts.empty());
  pool.Run(200ms);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_EQ(pool.starts.begin()->second, 1);
}

// Guards against ignoring the end of a run because another one was started before it was reported
// (recorded day inc-6965): the copy was lost, and the task was started a third time.
TEST(PoolSchedulerTest, EndSeenAfterACopyWasStartedCounts) {
  FakePool pool(2);
  StepSpec step = MakeStep(1, 1000, 300ms);
  step.copies_allowed = true;
  pool.Submit(MakeJob("a", {step}));
  pool.Run(200ms);
  const TaskId task{.job = JobId("a")};
  FakeExecutor& first = pool.executor("x0").Runs(task) ? pool.executor("x0") : pool.executor("x1");
  FakeExecutor& second = &first == &pool.executor("x0") ? pool.executor("x1") : pool.executor("x0");
  pool.owner_paused = true;
  pool.Run(300ms);  // The task ends while the owner is paused.
  pool.owner_paused = false;
  first.reachable = false;
  pool.TakeOver();
  for (int i = 0; i < 300 && !second.Runs(task); ++i) pool.Step();
  ASSERT_TRUE(second.Runs(task)) << "the task may run again after the lease of the first executor";
  first.reachable = true;
  pool.Run(200ms);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_FALSE(second.Runs(task));
  EXPECT_EQ(pool.starts.begin()->second, 2);
}

// Guards against a copy that starts more than a second after its task has ended (TWICE): the
// executor listed the end to the previous owner, and the next one does not receive its responses.
TEST(PoolSchedulerTest, SuccessorStartsNoCopiesForASilentExecutor) {
  FakePool pool(2);
  pool.Run(100ms);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  StepSpec step = MakeStep(1, 1000, 300ms);
  step.copies_allowed = true;
  const TaskId task{.job = JobId("a")};
  pool.Submit(MakeJob("a", {step}));
  pool.Run(200ms);
  ASSERT_TRUE(pool.executor("x0").Runs(task));
  pool.owner_paused = true;
  pool.Run(2500ms);
  pool.executor("x0").loses_answers = true;
  pool.TakeOver();
  pool.owner_paused = false;
  pool.Run(4s);
  EXPECT_EQ(pool.starts[task], 1);
  pool.executor("x0").loses_answers = false;
  EXPECT_TRUE(pool.RunUntilFinal(task.job, 200ms));
  EXPECT_EQ(pool.starts[task], 1);
}

// Guards against running a task twice after a takeover: the task still runs on an executor that the
// new owner cannot reach.
TEST(PoolSchedulerTest, SuccessorWaitsForUnresponsiveExecutorsOfItsPredecessor) {
  FakePool pool(2);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 60s)}));
  pool.Run(200ms);
  const TaskId task{.job = JobId("a")};
  for (auto& [id, executor] : pool.executors()) {
    if (executor.Runs(task)) executor.reachable = false;
  }
  pool.TakeOver();
  const TimePoint taken_at = pool.now();
  while (pool.now() - taken_at < 8s) {
    pool.Step();
    ASSERT_LE(pool.CopiesOf(task), 1) << ToSeconds(pool.now() - taken_at);
  }
  EXPECT_EQ(pool.CopiesOf(task), 1);
}

// Guards against second runs of tasks that have succeeded (TWICE, review/6): more runs had ended on
// an executor since the loss of its owner than one report lists, and the successor took the first
// report for a complete one.
TEST(PoolSchedulerTest, SuccessorReadsAllEndsBeforeItStartsTasks) {
  FakePool pool(2, {.cpu_millicores = 64000, .memory_mb = 256'000});
  for (int i = 0; i < 20; ++i) {
    pool.Submit(MakeJob("job" + std::to_string(i), {MakeStep(64, 10, 1500ms)}));
  }
  pool.Run(300ms);
  ASSERT_GT(pool.executor("x0").running().size() + pool.executor("x1").running().size(), 1200u);
  pool.owner_paused = true;
  pool.Run(2s);
  pool.owner_paused = false;
  pool.TakeOver();
  pool.Run(5s);
  for (const auto& [task, count] : pool.starts) EXPECT_EQ(count, 1) << task.index;
  EXPECT_EQ(pool.ledger().FindRepeatedTask(), std::nullopt);
  EXPECT_EQ(pool.State(JobId("job19")), JobState::kCompleted);
}

// Guards against losing active runs in a takeover.
TEST(PoolSchedulerTest, SuccessorAdoptsActiveRuns) {
  FakePool pool(3);
  pool.Submit(MakeJob("a", {MakeStep(4, 1000, 2s)}));
  pool.Run(400ms);
  pool.TakeOver();
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 3s));
  for (const auto& [task, count] : pool.starts) EXPECT_EQ(count, 1);
}

// Guards against acknowledging a run end before its effect is durable: if the owner fails, the end
// would be lost.
TEST(PoolSchedulerTest, EndsAreAcknowledgedOnlyWhenDurable) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 100ms)}));
  pool.Step();
  pool.store_unavailable = true;
  pool.Run(1s);
  EXPECT_EQ(pool.scheduler().FindExecutor(ExecutorId("x0"))->durable_end, 0);
  pool.TakeOver();
  pool.store_unavailable = false;
  pool.Run(300ms);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
  EXPECT_EQ(pool.starts.begin()->second, 1);
}

// Guards against counting a failed attempt twice across a takeover.
TEST(PoolSchedulerTest, AttemptsAreCountedOnceAcrossOwners) {
  FakePool pool(1);
  pool.executor("x0").fails_everything = true;
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 100ms)}));
  while (pool.starts.empty()) pool.Step();
  pool.Run(140ms);
  pool.TakeOver();
  pool.Run(10s);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kFailed);
  EXPECT_EQ(pool.starts.begin()->second, 3);
}

// Guards against an executor on which every task fails and which uses up the attempts of many jobs.
TEST(PoolSchedulerTest, ExecutorThatFailsEverythingIsQuarantined) {
  FakePool pool(4);
  pool.executor("x0").fails_everything = true;
  for (int i = 0; i < 12; ++i) {
    pool.Submit(MakeJob("job" + std::to_string(i), {MakeStep(4, 1000, 200ms)}));
  }
  pool.Run(4s);
  EXPECT_TRUE(pool.Noted("executor_quarantined"));
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(pool.State(JobId("job" + std::to_string(i))), JobState::kCompleted);
  }
}

// Guards against quarantining healthy executors because of a job that fails on every executor.
TEST(PoolSchedulerTest, JobThatFailsEverywhereQuarantinesNobody) {
  FakePool pool(3);
  pool.Submit(MakeJob("good", {MakeStep(6, 1000, 200ms), MakeStep(6, 1000, 200ms, {0})}));
  pool.Run(100ms);
  for (auto& [id, executor] : pool.executors()) executor.fails_everything = true;
  pool.Submit(MakeJob("bad", {MakeStep(1, 1000, 100ms)}));
  pool.Run(60ms);
  for (auto& [id, executor] : pool.executors()) executor.fails_everything = false;
  pool.Run(5s);
  EXPECT_FALSE(pool.Noted("executor_quarantined"));
  EXPECT_EQ(pool.State(JobId("good")), JobState::kCompleted);
}

// Guards against executors that are never used again (LOST, review/8): after one rejected start
// they were on probation until a task ended, and the long-running task on each of them never ends.
TEST(PoolSchedulerTest, LongRunningTaskDoesNotProlongProbation) {
  FakePool pool(2);
  StepSpec lasting = MakeStep(2, 1000, 0s);
  lasting.long_running = true;
  lasting.max_per_executor = 1;
  pool.Submit(MakeJob("lasting", {lasting}));
  pool.Run(300ms);
  for (auto& [id, executor] : pool.executors()) executor.rejects_starts = true;
  pool.Submit(MakeJob("rejected", {MakeStep(4, 1000, 200ms)}));
  pool.Run(300ms);
  EXPECT_TRUE(pool.Noted("start_refused"));
  for (auto& [id, executor] : pool.executors()) executor.rejects_starts = false;
  EXPECT_TRUE(pool.RunUntilFinal(JobId("rejected"), 5s));
  pool.Submit(MakeJob("next", {MakeStep(8, 1000, 200ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("next"), 500ms)) << "the executors are still on probation";
}

// Guards against an executor that runs one task at a time for as long as its first task after a
// quarantine takes.
TEST(PoolSchedulerTest, LongTaskDoesNotProlongProbation) {
  FakePool pool(1);
  pool.Submit(MakeJob("long", {MakeStep(1, 1000, 60s)}));
  pool.Run(300ms);
  pool.executor("x0").rejects_starts = true;
  pool.Submit(MakeJob("next", {MakeStep(4, 1000, 200ms)}));
  pool.Run(300ms);
  pool.executor("x0").rejects_starts = false;
  EXPECT_TRUE(pool.RunUntilFinal(JobId("next"), 8s));
}

// Guards against a first quarantine of 8 s in place of 2 s: each of the tasks that were ordered
// together and were rejected together prolonged it.
TEST(PoolSchedulerTest, StartsThatAreRejectedTogetherCountOnce) {
  ExecutorHealth health;
  const TimePoint now{1s};
  for (int i = 0; i < 4; ++i) health.Quarantine(now + i * 1ms);
  EXPECT_TRUE(health.quarantined(now + 1900ms));
  EXPECT_FALSE(health.quarantined(now + 2100ms));
}

// Guards against a quarantined executor that is only used again after some other event in its pool,
// where run times are not learned.
TEST(PoolSchedulerTest, WaitingTasksArePlannedAfterAQuarantine) {
  FakePool pool(1);
  pool.make_durations = [] { return MakeDurationModel(RunTimeUse::kDeclared); };
  pool.TakeOver();
  pool.Run(100ms);
  pool.executor("x0").rejects_starts = true;
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 200ms)}));
  pool.Run(200ms);
  EXPECT_FALSE(pool.scheduler().plan_needed());
  pool.scheduler().Advance(pool.now() + 3s, 0);
  EXPECT_TRUE(pool.scheduler().plan_needed());
}

// Guards against attributing the runs of an executor's previous incarnation to its new one.
TEST(PoolSchedulerTest, RestartedExecutorHasNoRunsOfItsPreviousIncarnation) {
  FakePool pool(1);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 500ms)}));
  pool.Run(200ms);
  pool.executor("x0").Restart();
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 3s));
  EXPECT_EQ(pool.starts.begin()->second, 2);
  EXPECT_EQ(pool.scheduler().FindExecutor(ExecutorId("x0"))->used, Resources{});
}

// Guards against tasks that continue to run after their job was cancelled.
TEST(PoolSchedulerTest, CancelledJobIsStoppedAndNeverStartedAgain) {
  FakePool pool(2);
  pool.Submit(MakeJob("a", {MakeStep(4, 1000, 60s)}));
  pool.Run(200ms);
  pool.Cancel(JobId("a"));
  pool.Run(200ms);
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCancelled);
  pool.TakeOver();
  pool.Run(500ms);
  for (const auto& [id, executor] : pool.executors()) EXPECT_TRUE(executor.running().empty());
}

// Guards against gangs that start in part and then wait for members that cannot be placed.
TEST(PoolSchedulerTest, GangStartsWholeOrNotAtAll) {
  FakePool pool(1);
  StepSpec gang = MakeStep(5, 4000, 200ms);  // 20 cores on an executor with 16.
  gang.gang_scheduled = true;
  pool.Submit(MakeJob("a", {gang}));
  pool.Run(500ms);
  EXPECT_TRUE(pool.starts.empty());
  pool.AddExecutor({.cpu_millicores = 16000, .memory_mb = 64000});
  pool.scheduler().ListExecutor(pool.executor("x1").info(), pool.now());
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 2s));
  EXPECT_EQ(pool.starts.size(), 5u);
}

// Guards against stranding the jobs of a queue that a configuration removed: a new owner did not
// know the queue's policy, did not run jobs accepted before, and failed them at their first failed
// attempt.
TEST(PoolSchedulerTest, JobsOfARemovedQueueAreStillDone) {
  FakePool pool(2);
  JobDefinition job = MakeJob("a", {MakeStep(2, 1000, 300ms)});
  job.accepted_policy = {.max_attempts = 3, .latency_multiplier = 1.6, .target_latency = 600ms};
  pool.executor("x0").fails_everything = true;
  pool.Submit(job);
  pool.TakeOver();
  pool.scheduler().SetQueues({});
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 10s));
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted);
}

// Guards against counting a failed attempt twice after a takeover: the job's progress was durable
// but the acknowledgement of the end was not, so that the job failed one attempt early.
TEST(PoolSchedulerTest, FailureIsCountedOnceIfOnlyTheProgressIsDurable) {
  FakePool pool(2);
  pool.Submit(MakeJob("long", {MakeStep(1, 1000, 10s)}));
  pool.Run(200ms);
  pool.links_delayed = true;
  pool.executor("x0").fails_everything = true;
  pool.executor("x1").fails_everything = true;
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
  const TaskId task{.job = JobId("a")};
  while (pool.starts[task] < 2) pool.Step();
  pool.executor("x0").fails_everything = false;
  pool.executor("x1").fails_everything = false;
  while (pool.starts[task] < 3) pool.Step();
  // Two attempts have failed, and the executors report both ends to the new owner again.
  pool.TakeOver();
  pool.links_delayed = false;
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 10s));
  EXPECT_EQ(pool.State(JobId("a")), JobState::kCompleted) << "a failure was counted twice";
}

// Guards against failures that are not counted because the end of a later run was reported first,
// as happens after a takeover: the task was started again after its last attempt.
TEST(PoolSchedulerTest, FailuresCountInAnyOrderAndOnce) {
  Job job(std::make_shared<const JobDefinition>(MakeJob("a", {MakeStep(1, 1000, 1s)})), {}, false);
  const TaskId task{.job = JobId("a")};
  EXPECT_FALSE(job.MarkFailed(task, 7, 3));
  EXPECT_FALSE(job.MarkFailed(task, 5, 3));
  EXPECT_FALSE(job.MarkFailed(task, 7, 3));
  Job successor(job.definition(), {}, true);
  successor.Restore(job.Progress());
  EXPECT_FALSE(successor.MarkFailed(task, 5, 3));
  EXPECT_TRUE(successor.MarkFailed(task, 6, 3));
}

// Guards against removing the progress of a job before its definition: the next owner would run
// the job again.
TEST(PoolSchedulerTest, DefinitionIsRemovedBeforeItsProgress) {
  FakePool pool(1);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 100ms)}));
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 2s));
  EXPECT_TRUE(pool.scheduler().TakeExpiredJobs().empty());
  pool.scheduler().Advance(pool.now() + 200s, 0);
  const std::vector<JobId> expired = pool.scheduler().TakeExpiredJobs();
  ASSERT_EQ(expired, std::vector{JobId("a")});
  EXPECT_TRUE(pool.scheduler().TakeCommit(98).removed_jobs.empty());
  pool.scheduler().OnRemovalFailed(expired);
  EXPECT_EQ(pool.scheduler().TakeExpiredJobs(), expired);
  pool.scheduler().OnDefinitionsRemoved(expired);
  EXPECT_EQ(pool.scheduler().TakeCommit(98).removed_jobs, expired);
}

// Guards against a task that is started again after its end (TWICE): many jobs end at once, their
// progress takes several commits, and an owner is killed between two of them. No end may be
// acknowledged, nor a link written with its number, before the progress is durable.
TEST(PoolSchedulerTest, OwnerKilledBetweenCommitsOfASplitBatchRepeatsNoTask) {
  constexpr int kJobs = 24;
  for (int killed_after = 1; killed_after <= 12; ++killed_after) {
    FakePool pool(3);
    pool.Run(100ms);
    pool.commit_rows = 3;
    for (int i = 0; i < kJobs; ++i) {
      pool.Submit(MakeJob("j" + std::to_string(i),
                          {MakeStep(1, 1000, 100ms), MakeStep(1, 1000, 100ms, {0})}));
    }
    pool.Run(100ms);
    // A restart makes the owner write a link while ends of the other executors are not durable.
    pool.executor("x2").Restart();
    pool.Run(FakePool::kStep * killed_after);
    pool.TakeOver();
    pool.Run(20s);
    EXPECT_EQ(pool.ledger().FindRepeatedTask(), std::nullopt) << killed_after;
    for (int i = 0; i < kJobs; ++i) {
      EXPECT_EQ(pool.State(JobId("j" + std::to_string(i))), JobState::kCompleted) << i;
    }
  }
}

// Guards against a final state that is forgotten too early (LOST): the new owner knows when the job
// was accepted, not when it ended, and counted the retention from there.
TEST(PoolSchedulerTest, RetentionOfAnInheritedFinalJobStartsAtTheTakeover) {
  const TimePoint now(100s);
  PoolScheduler scheduler({.taken_over_at = now, .final_retention = 130s});
  const JobProgress completed{.state = JobState::kCompleted, .finished_occurrences = 1};
  scheduler.AddJob(std::make_shared<const JobDefinition>(MakeJob("a", {MakeStep(1, 1000, 100ms)})),
                   &completed, now - 60s, true);
  scheduler.Advance(now + 125s, 0);
  EXPECT_TRUE(scheduler.HoldsJob(JobId("a")));
  scheduler.Advance(now + 131s, 0);
  EXPECT_EQ(scheduler.TakeExpiredJobs(), std::vector<JobId>{JobId("a")});
}

// Guards against an occurrence that never runs (LOST): a later one was recorded first, as an owner
// whose clock was ahead had started it, and the next owner went on after that one.
TEST(PoolSchedulerTest, OccurrencesBeforeARecordedOneAreNotSkipped) {
  JobDefinition definition = MakeJob("a", {MakeStep(1, 1000, 100ms)});
  definition.schedule = {.first_due_unix_ms = 1000, .interval_ms = 1000, .occurrences = 5};
  const auto shared = std::make_shared<const JobDefinition>(definition);
  for (const std::vector<std::string>& steps :
       {std::vector<std::string>{"-"}, std::vector<std::string>{}}) {
    Job job(shared, TimePoint(1s), true);
    job.Restore({.state = JobState::kRunning,
                 .finished_occurrences = 1,
                 .occurrences = {{.number = 3, .steps = steps}}});
    job.OpenOccurrences(5000);
    EXPECT_TRUE(job.occurrences().contains(1));
    EXPECT_TRUE(job.occurrences().contains(2));
    EXPECT_EQ(job.occurrences().contains(3), !steps.empty()) << "it is recorded as finished";
    EXPECT_TRUE(job.occurrences().contains(4));
    EXPECT_EQ(job.occurrences().contains(0), false);
  }
}

// Guards against occurrences that start before they are due or are lost in a takeover.
TEST(PoolSchedulerTest, OccurrencesRunWhenTheyAreDue) {
  FakePool pool(1);
  JobDefinition job = MakeJob("a", {MakeStep(1, 1000, 100ms)});
  job.schedule = {.first_due_unix_ms = 2000, .interval_ms = 1000, .occurrences = 3};
  pool.Submit(job);
  while (pool.now() < TimePoint(2s)) {
    EXPECT_TRUE(pool.starts.empty());
    pool.Step();
  }
  pool.Run(500ms);
  EXPECT_EQ(pool.starts.size(), 1u);
  pool.TakeOver();
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 4s));
  EXPECT_EQ(pool.starts.size(), 3u);
  for (const auto& [task, count] : pool.starts) EXPECT_EQ(count, 1);
}

// Guards against an occurrence that runs twice (TWICE, review/2): no row of progress names an
// occurrence that became due after the last commit, so the successor dropped the ends of its tasks.
TEST(PoolSchedulerTest, OccurrenceThatEndedDuringATakeoverIsNotRepeated) {
  FakePool pool(2);
  JobDefinition job = MakeJob("a", {MakeStep(2, 1000, 300ms), MakeStep(1, 1000, 200ms, {0})});
  job.schedule = {.first_due_unix_ms = 2000, .interval_ms = 3000, .occurrences = 3};
  pool.Submit(job);
  pool.Run(1100ms);
  ASSERT_EQ(pool.starts.size(), 2u);
  pool.owner_paused = true;
  pool.Run(1s);  // Both tasks end.
  pool.owner_paused = false;
  pool.TakeOver();
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 12s));
  EXPECT_EQ(pool.starts.size(), 9u);
  for (const auto& [task, count] : pool.starts) EXPECT_EQ(count, 1) << task.occurrence;
}

// Guards against stopping the tasks of an occurrence that is not due yet on the clock of a
// successor, and starting them again later.
TEST(PoolSchedulerTest, SuccessorWithASlowClockAdoptsOccurrences) {
  FakePool pool(2);
  JobDefinition job = MakeJob("a", {MakeStep(2, 1000, 500ms)});
  job.schedule = {.first_due_unix_ms = 2000, .interval_ms = 1000, .occurrences = 3};
  pool.Submit(job);
  pool.Run(1100ms);
  ASSERT_EQ(pool.starts.size(), 2u);
  pool.unix_ms = -1000;
  pool.TakeOver();
  pool.Run(300ms);
  EXPECT_FALSE(pool.Noted("stray_run"));
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 6s));
  EXPECT_EQ(pool.starts.size(), 6u);
  for (const auto& [task, count] : pool.starts) EXPECT_EQ(count, 1) << task.occurrence;
}

// Guards against starts without the required ticket, which executors reject.
TEST(PoolSchedulerTest, StepWaitsForTicketsIfItsQueueNeedsAdvice) {
  FakePool pool(3);
  pool.Run(100ms);
  const QueuePolicy queue{.name = QueueName("queue"),
                          .pool = PoolName("pool"),
                          .max_attempts = 3,
                          .advice_delay = 50ms,
                          .advice_per_executor = 1ms,
                          .needs_advice = true};
  pool.scheduler().SetQueues(std::span(&queue, 1));
  pool.Submit(MakeJob("a", {MakeStep(2, 1000, 100ms)}));
  pool.Run(100ms);
  EXPECT_TRUE(pool.starts.empty());
  const auto request = pool.scheduler().NextTicketRequest(pool.now());
  ASSERT_TRUE(request);
  EXPECT_EQ(request->candidates.size(), 3u);
  EXPECT_FALSE(pool.scheduler().NextTicketRequest(pool.now())) << "one request at a time";
  pool.scheduler().SetTickets(*request, {{ExecutorId("x1"), "ticket"}}, pool.now() + 1s,
                              pool.now());
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 2u);
  for (const StartOrder& start : orders.starts) {
    EXPECT_EQ(start.executor, ExecutorId("x1"));
    EXPECT_EQ(start.ticket, "ticket");
  }
  // An invalid ticket is not used again.
  pool.scheduler().OnStartAnswer(orders.starts[0], StartAnswer::kTicketInvalid, pool.now());
  EXPECT_TRUE(pool.scheduler().Plan(pool.now()).starts.empty());
  EXPECT_TRUE(pool.scheduler().NextTicketRequest(pool.now()));
}

// Load pattern: a best-effort task runs beside a user-facing one whose tail latency exceeds its
// target. Guards against a violation of the target that lasts for several seconds.
TEST(PoolSchedulerTest, BestEffortTasksAreSlowedWhenATailExceedsItsTarget) {
  FakePool pool(1);
  StepSpec serving = MakeStep(1, 8000, 0s);
  serving.long_running = true;
  serving.tail_target = 40ms;
  StepSpec fill = MakeStep(1, 8000, 60s);
  fill.uses_leftover_cpu = true;
  pool.Submit(MakeJob("serving", {serving}));
  pool.Submit(MakeJob("fill", {fill}));
  pool.Run(200ms);
  const auto report_tail = [&](double tail_ms) {
    ExecutorReport report{.incarnation_unix_ms = 1000};
    for (const auto& running : pool.executor("x0").running()) {
      report.active.push_back({.task = running.task,
                               .run = running.run,
                               .percent = 100,
                               .metric = running.long_running ? tail_ms : 4});
    }
    pool.scheduler().OnReport(ExecutorId("x0"), report, 0, pool.now(), pool.now());
    return pool.scheduler().Plan(pool.now()).paces;
  };
  EXPECT_TRUE(report_tail(10).empty());
  int percent = 100;
  for (int reports = 0; reports < 3; ++reports) {
    const auto paces = report_tail(60);
    ASSERT_EQ(paces.size(), 1u);
    EXPECT_EQ(paces[0].task.job, JobId("fill"));
    EXPECT_LT(paces[0].percent, percent);
    percent = paces[0].percent;
    if (percent == 0) break;
  }
  EXPECT_EQ(percent, 0);
  const auto faster = report_tail(10);
  ASSERT_EQ(faster.size(), 1u);
  EXPECT_EQ(faster[0].percent, 10) << "the pace is raised in small steps";
  pool.scheduler().OnPaceFailed(faster[0]);
  EXPECT_EQ(report_tail(30).size(), 1u) << "an undelivered order is repeated";
}

// Guards against acknowledging a run end when the job's progress did not fit into the same commit.
TEST(PoolSchedulerTest, FullCommitAcknowledgesNoRunEnds) {
  FakePool pool(4);
  for (int i = 0; i < 40; ++i) {
    pool.Submit(MakeJob("job" + std::to_string(i), {MakeStep(1, 1000, 100ms)}));
  }
  pool.Run(100ms);
  pool.store_unavailable = true;
  pool.Run(200ms);
  const CommitBatch part = pool.scheduler().TakeCommit(10);
  EXPECT_LE(part.size(), 10u);
  EXPECT_TRUE(part.links.empty());
  pool.scheduler().OnCommitFailed(part);
  pool.store_unavailable = false;
  pool.Run(500ms);
  for (const auto& [id, job] : pool.store().jobs) {
    EXPECT_EQ(pool.State(id), JobState::kCompleted);
  }
}

// Guards against a scheduled job of which a great many occurrences are due at once: each owner of
// the pool ran out of memory in turn.
TEST(PoolSchedulerTest, OccurrencesThatAreDueAtOnceAreOpenedInTurn) {
  FakePool pool(2);
  JobDefinition job = MakeJob("a", {MakeStep(1000, 10, 20ms)});
  job.schedule = {.first_due_unix_ms = 1, .interval_ms = 0, .occurrences = kMaxOccurrences};
  pool.unix_ms = 1'700'000'000'000;
  pool.Submit(std::move(job));
  pool.Step();
  const Job* held = pool.scheduler().FindJob(JobId("a"));
  ASSERT_NE(held, nullptr);
  EXPECT_EQ(held->occurrences().size(), 10u);
  const int first = held->occurrences().begin()->first;
  for (int i = 0; i < 100 && held->occurrences().begin()->first == first; ++i) pool.Step();
  EXPECT_GT(held->occurrences().begin()->first, first) << "later occurrences are never opened";
}

// Guards against a pool that is taken for full because of steps that fit nowhere: 104 to 108 jobs a
// run were never started while 40 steps waited for a lost executor, the only one with their label.
TEST(PoolSchedulerTest, StepsThatFitNowhereDoNotKeepOthersFromRunning) {
  FakePool pool(2);
  pool.Run(100ms);
  for (int i = 0; i < 60; ++i) {
    StepSpec step = MakeStep(1, 100, 10ms);
    step.required_label = "lost";
    pool.Submit(MakeJob("lost" + std::to_string(i), {step}));
  }
  pool.Submit(MakeJob("other", {MakeStep(1, 4000, 300ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("other"), 500ms));
  EXPECT_EQ(pool.State(JobId("lost0")), JobState::kQueued);
}

// Guards against a pool that is taken for full because of steps that are too large for any executor
// (LOST, review/10): 40 of them, ahead in rank, kept all smaller ones from starting.
TEST(PoolSchedulerTest, TooLargeStepsDoNotKeepSmallerOnesFromRunning) {
  FakePool pool(2);
  pool.Run(100ms);
  for (int i = 0; i < 60; ++i) {
    pool.Submit(MakeJob("large" + std::to_string(i), {MakeStep(1, 32000, 10ms)}));
  }
  pool.Submit(MakeJob("other", {MakeStep(4, 4000, 300ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("other"), 500ms));
  EXPECT_EQ(pool.State(JobId("large0")), JobState::kQueued);
}

// Guards against the same with steps that fit on an empty executor, but not beside long-running
// tasks.
TEST(PoolSchedulerTest, StepsTooLargeForWhatIsFreeDoNotKeepSmallerOnesFromRunning) {
  FakePool pool(2);
  StepSpec lasting = MakeStep(2, 7000, 0s);
  lasting.long_running = true;
  lasting.max_per_executor = 1;
  pool.Submit(MakeJob("lasting", {lasting}));
  pool.Run(300ms);
  for (int i = 0; i < 60; ++i) {
    pool.Submit(MakeJob("large" + std::to_string(i), {MakeStep(1, 10000, 10ms)}));
  }
  pool.Submit(MakeJob("other", {MakeStep(4, 4000, 300ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("other"), 500ms));
}

// Guards against a pool that is taken for full because of many steps, each kind of which is limited
// by another label.
TEST(PoolSchedulerTest, StepsWithManyMissingLabelsDoNotKeepOthersFromRunning) {
  FakePool pool(2);
  pool.Run(100ms);
  for (int i = 0; i < 600; ++i) {
    StepSpec step = MakeStep(1, 100, 10ms);
    step.required_label = "lost" + std::to_string(i % 20);
    pool.Submit(MakeJob("lost" + std::to_string(i), {step}));
  }
  pool.Submit(MakeJob("other", {MakeStep(1, 4000, 300ms)}));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("other"), 500ms));
}

constexpr Resources kRoomy{.cpu_millicores = 16000, .memory_mb = 200'000};

/// Hands in jobs of one step, of which an executor may run one task.
void SubmitSpreadJobs(FakePool& pool, std::string_view prefix, int jobs, const StepSpec& step) {
  StepSpec spread = step;
  spread.max_per_executor = 1;
  for (int i = 0; i < jobs; ++i) {
    pool.Submit(MakeJob(std::string(prefix) + std::to_string(i), {spread}));
  }
}

// Guards against jobs that do not start, although executors are idle, behind others that have a
// task on each executor and may not have a second one there.
TEST(PoolSchedulerTest, StepsThatAreSpreadDoNotKeepOthersFromRunning) {
  FakePool pool(2, kRoomy);
  pool.Run(100ms);
  SubmitSpreadJobs(pool, "spread", 1000, MakeStep(3, 5, 20s));
  pool.Run(500ms);
  SubmitSpreadJobs(pool, "other", 1, MakeStep(2, 1000, 300ms));
  EXPECT_TRUE(pool.RunUntilFinal(JobId("other0"), 500ms));
}

// Guards against steps that are never tried again, since more of them than a planning round tries
// wait for an executor without another task of their step. Long-running ones, which are tried in
// each round and still wait for one more, must not take up their turns.
TEST(PoolSchedulerTest, AllStepsThatAreSpreadAreTriedInTurn) {
  FakePool pool(2, kRoomy);
  pool.Run(100ms);
  SubmitSpreadJobs(pool, "spread", 1000, MakeStep(3, 5, 20s));
  StepSpec lasting = MakeStep(4, 5, 0s);
  lasting.long_running = true;
  SubmitSpreadJobs(pool, "lasting", 500, lasting);
  pool.Run(500ms);
  const auto running = [&] {
    size_t count = 0;
    for (const auto& [id, executor] : pool.executors()) count += executor.running().size();
    return count;
  };
  EXPECT_EQ(running(), 3000u);
  const ExecutorId added = pool.AddExecutor(kRoomy);
  pool.scheduler().ListExecutor(pool.executor(added.view()).info(), pool.now());
  pool.Run(500ms);
  EXPECT_EQ(running(), 4500u);
}

// Guards against commits that grow with the number of executors: each end rewrote the link of its
// executor, which took half of the bytes that an owner on a thin link may send.
TEST(PoolSchedulerTest, EndsAreAcknowledgedWithoutRewritingLinks) {
  FakePool pool(4);
  pool.Run(100ms);
  pool.link_writes = 0;
  for (int i = 0; i < 10; ++i) {
    pool.Submit(MakeJob("a" + std::to_string(i), {MakeStep(8, 1000, 100ms)}));
  }
  pool.Run(2s);
  EXPECT_EQ(pool.State(JobId("a9")), JobState::kCompleted);
  EXPECT_EQ(pool.link_writes, 0);
  for (const auto& [id, executor] : pool.scheduler().executors()) {
    EXPECT_GT(executor.durable_end, 0);
    EXPECT_EQ(executor.durable_end, executor.applied_end);
  }
  // The links that a successor reads are from before these ends.
  pool.TakeOver();
  pool.Run(1s);
  for (const auto& [task, count] : pool.starts) EXPECT_EQ(count, 1);
}

// Guards against stopping work whose start was answered too late: the executor was only slow, and
// its next report lists the run.
TEST(PoolSchedulerTest, UnansweredStartThatRunsIsLeftRunning) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 300ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 1u);
  pool.executor("x0").Start(orders.starts[0], 1, pool.now(), pool.now() + 5s);
  pool.scheduler().OnStartAnswer(orders.starts[0], StartAnswer::kUnknown, pool.now());
  EXPECT_TRUE(pool.scheduler().Plan(pool.now()).stops.empty());
  ASSERT_TRUE(pool.RunUntilFinal(JobId("a"), 600ms));
  EXPECT_TRUE(pool.starts.empty()) << "the task was started again";
}

}  // namespace
}  // namespace citronferry::scheduling
