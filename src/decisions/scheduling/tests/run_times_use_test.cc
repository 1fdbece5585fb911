// Tests what the scheduler does with learned run times.
#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

// Guards against a job that is about to end and is taken for one with all its work ahead: the time
// that a running task has already run counts.
TEST(RunTimesUseTest, RunningTasksCountWithTheirRemainingTime) {
  const auto durations = MakeDurationModel(RunTimeUse::kLearned);
  auto definition = std::make_shared<JobDefinition>(MakeJob("job", {MakeStep(2, 1000, 4s)}));
  const ExecutorDescription executor{.id = ExecutorId("x")};
  for (int i = 0; i < 50; ++i) {
    durations->Learn(*definition, definition->steps[0], executor, i % 2 == 0 ? 1900ms : 2100ms,
                     TimePoint(1s));
  }
  const TimePoint start{10s};
  Job job(definition, start, false);
  const RemainingWork before = EstimateRemaining(job, *durations, 0.5, start);
  EXPECT_NEAR(before.core_seconds, 4, 0.2);
  for (Task& task : job.occurrences().at(0).steps[0].tasks) {
    task.runs.push_back({.id = 1, .executor = executor.id, .ordered_at = start});
  }
  const RemainingWork after = EstimateRemaining(job, *durations, 0.5, start + 1500ms);
  EXPECT_LT(after.core_seconds, 1.6);
  EXPECT_LT(after.longest_chain, 900ms);
}

// Guards against large jobs that are given up early: with a share that rises with the number of
// tasks, the largest tenth of the jobs of packstring-cf earned half of what it had earned before.
TEST(RunTimesUseTest, WideStepsAreNotTakenForLaterThanNarrowOnes) {
  const auto durations = MakeDurationModel(RunTimeUse::kLearned);
  const auto chain_of = [&](int replicas) {
    auto definition = std::make_shared<JobDefinition>(
        MakeJob("job" + std::to_string(replicas), {MakeStep(replicas, 1000, 4s)}));
    for (int i = 0; i < 50; ++i) {
      durations->Learn(*definition, definition->steps[0], {.id = ExecutorId("x")},
                       i % 10 == 0 ? 7s : 1s, TimePoint(1s));
    }
    const Job job(definition, TimePoint(10s), false);
    return EstimateRemaining(job, *durations, kTimelinessShare, TimePoint(10s)).longest_chain;
  };
  const Duration narrow = chain_of(1);
  EXPECT_LT(narrow, 2s);
  EXPECT_EQ(chain_of(32), narrow);
}

// Guards against a long-running task that is given the run time of other tasks of its size.
TEST(RunTimesUseTest, NothingIsLearnedForLongRunningTasks) {
  const auto durations = MakeDurationModel(RunTimeUse::kLearned);
  const JobDefinition job = MakeJob("job", {MakeStep(1, 1000, 1s)});
  for (int i = 0; i < 50; ++i) {
    durations->Learn(job, job.steps[0], {.id = ExecutorId("x")}, 3s, TimePoint(1s));
  }
  StepSpec service = MakeStep(1, 1000, Duration::zero());
  EXPECT_GT(durations->Predict(job.queue, service).Mean(), 2s);
  service.long_running = true;
  EXPECT_EQ(durations->Predict(job.queue, service).Mean(), Duration::zero());
}

// Guards against comparisons in which learned times have an effect on one side only by name.
TEST(RunTimesUseTest, DeclaredTimesAreUsedOnRequestWhileTheModelLearns) {
  const auto durations = MakeDurationModel(RunTimeUse::kDeclared);
  const JobDefinition job = MakeJob("job", {MakeStep(1, 1000, 1s)});
  for (int i = 0; i < 50; ++i) {
    durations->Learn(job, job.steps[0], {.id = ExecutorId("x")}, 3s, TimePoint(1s));
  }
  EXPECT_EQ(durations->Predict(job.queue, job.steps[0]).Mean(), 1s);
  EXPECT_EQ(durations->Predict(job.queue, job.steps[0]).Quantile(0.99), 1s);
  EXPECT_EQ(durations->run_times().learned_runs(), 50);
}

// Runs jobs of four tasks of 0.5 s one after the other, so that each executor gets runs of many.
void Warm(FakePool& pool, int jobs, bool copies_allowed = false) {
  static int number = 0;
  for (int i = 0; i < jobs; ++i) {
    StepSpec step = MakeStep(4, 1000, 500ms);
    step.image = "image";
    step.max_per_executor = 1;
    step.copies_allowed = copies_allowed;
    pool.Submit(MakeJob("warm" + std::to_string(number++), {step}));
    pool.Run(100ms);
  }
  pool.Run(3s);
}

// Load pattern: one executor of four takes three times as long.
// Guards against a job whose end is decided by a slow executor while others are free, and against
// an executor that is excluded because it is slow.
TEST(RunTimesUseTest, SlowExecutorIsTheLastResortForTasksThatDecideAJobsEnd) {
  FakePool pool(4);
  pool.executor("x2").slowdown_factor = 3;
  Warm(pool, 60);
  ASSERT_EQ(pool.scheduler().run_times().executors().slow_executors(), 1u);
  StepSpec step = MakeStep(6, 8000, 500ms);
  step.image = "image";
  pool.Submit(MakeJob("decisive", {step}));
  pool.Run(100ms);
  EXPECT_TRUE(pool.executor("x2").running().empty());
  pool.Submit(MakeJob("more", {step}));
  pool.Run(100ms);
  EXPECT_EQ(pool.executor("x2").running().size(), 2u) << "used when the others are full";
}

// Guards against a slow executor that idles while tasks run that decide no job's end: it takes its
// share of those.
TEST(RunTimesUseTest, SlowExecutorTakesItsShareOfOtherTasks) {
  FakePool pool(4);
  pool.executor("x2").slowdown_factor = 2;
  Warm(pool, 60);
  ASSERT_EQ(pool.scheduler().run_times().executors().slow_executors(), 1u);
  std::vector<Candidate> candidates;
  for (const char* id : {"x1", "x2"}) {
    ExecutorState* executor = pool.scheduler().FindExecutor(ExecutorId(id));
    candidates.push_back({.executor = executor,
                          .free = executor->info.capacity,
                          .slowness = id == std::string_view("x2") ? 2.0 : 1.0});
  }
  Placer placer(candidates, pool.now());
  const StepSpec spec = MakeStep(1, 4000, 500ms);
  const Step step;
  std::map<ExecutorId, int> placed;
  for (int i = 0; i < 6; ++i) {
    ++placed[placer.Place({.spec = spec, .step = step, .ready_since = pool.now()}, {})->info.id];
  }
  EXPECT_EQ(placed[ExecutorId("x1")], 4);
  EXPECT_EQ(placed[ExecutorId("x2")], 2) << "half of its cores";
}

// Guards against judging a step by its own time only: a short one may hold up a long one.
TEST(RunTimesUseTest, StepsOnTheLongestChainDecideTheEnd) {
  const auto durations = MakeDurationModel(RunTimeUse::kDeclared);
  auto definition = std::make_shared<JobDefinition>(MakeJob(
      "job", {MakeStep(1, 1000, 500ms), MakeStep(1, 1000, 1s), MakeStep(1, 1000, 3s, {0})}));
  const Job job(definition, TimePoint(1s), false);
  const Occurrence& occurrence = job.occurrences().at(0);
  EXPECT_TRUE(DecidesEnd(*definition, occurrence, 0, *durations));
  EXPECT_FALSE(DecidesEnd(*definition, occurrence, 1, *durations));
}

// Load pattern: a poison job whose tasks fail on every executor. Guards against blaming executors.
TEST(RunTimesUseTest, JobsThatFailEverywhereMakeNoExecutorSlow) {
  FakePool pool(4);
  Warm(pool, 30);
  for (auto& [id, executor] : pool.executors()) {
    executor.fails_everything = true;
    executor.slowdown_factor = 5;
  }
  for (int i = 0; i < 10; ++i) {
    StepSpec step = MakeStep(4, 4000, 500ms);
    step.image = "image";
    pool.Submit(MakeJob("poison" + std::to_string(i), {step}));
    pool.Run(1s);
  }
  EXPECT_FALSE(pool.scheduler().run_times().executors().any_slow());
}

class StragglerTest : public ::testing::Test {
 protected:
  // Starts a job of one task that takes ten times its usual time on its first executor.
  TaskId SubmitStraggler(std::string_view id, bool copies_allowed) {
    const TaskId straggler{.job = JobId(id)};
    for (auto& [name, executor] : m_pool.executors()) {
      executor.run_time = [this, straggler](const TaskId& task, const StepSpec& spec) {
        return task == straggler && m_pool.starts[task] == 1 ? 10 * spec.estimated_duration
                                                             : spec.estimated_duration;
      };
    }
    StepSpec step = MakeStep(1, 1000, 500ms);
    step.image = "image";
    step.copies_allowed = copies_allowed;
    m_pool.Submit(MakeJob(id, {step}));
    return straggler;
  }

  FakePool m_pool{4};
};

// Guards against a job that waits for a straggler while executors are free.
TEST_F(StragglerTest, StragglerIsCopiedWhereCopiesAreAllowed) {
  Warm(m_pool, 20, true);
  const TaskId straggler = SubmitStraggler("straggler", true);
  const auto took = m_pool.RunUntilFinal(straggler.job, 8s);
  ASSERT_TRUE(took);
  EXPECT_LT(*took, 3s);
  EXPECT_TRUE(m_pool.Noted("straggler_copied"));
  EXPECT_EQ(m_pool.starts[straggler], 2);
  m_pool.Run(1s);
  EXPECT_EQ(m_pool.CopiesOf(straggler), 0) << "the overtaken run is stopped";
}

// Guards against a copy of a task whose end its executor has listed (TWICE): the report takes
// seconds to reach the owner, which takes the run for a straggler meanwhile.
TEST_F(StragglerTest, NothingIsCopiedOnAnOldReport) {
  Warm(m_pool, 20, true);
  const TaskId straggler = SubmitStraggler("straggler", true);
  m_pool.Run(100ms);
  m_pool.call_timeout = 5s;
  for (auto& [id, executor] : m_pool.executors()) {
    if (executor.Runs(straggler)) executor.reachable = false;
  }
  m_pool.Run(4s);
  EXPECT_EQ(m_pool.starts[straggler], 1);
}

// Guards against the same for an executor that is silent: it may have listed the end in a response
// that has not arrived.
TEST_F(StragglerTest, NothingIsCopiedWithinItsLeaseForASilentExecutor) {
  FakePool pool(2);
  pool.Run(100ms);
  pool.scheduler().SetCordoned(ExecutorId("x1"), true);
  StepSpec step = MakeStep(1, 1000, 300ms);
  step.copies_allowed = true;
  const TaskId task{.job = JobId("b")};
  pool.Submit(MakeJob("b", {step}));
  pool.Run(200ms);
  ASSERT_TRUE(pool.executor("x0").Runs(task));
  pool.scheduler().SetCordoned(ExecutorId("x1"), false);
  pool.call_timeout = 1600ms;
  pool.executor("x0").reachable = false;
  pool.Run(4s);
  EXPECT_EQ(pool.starts[task], 1);
}

// A second run of a task may exist only where copies are allowed: a task may charge somebody.
TEST_F(StragglerTest, TaskWithoutCopiesIsNeverCopied) {
  Warm(m_pool, 20);
  const TaskId straggler = SubmitStraggler("straggler", false);
  ASSERT_TRUE(m_pool.RunUntilFinal(straggler.job, 8s));
  EXPECT_EQ(m_pool.starts[straggler], 1);
}

// Guards against copies that take capacity from jobs that wait for it.
TEST_F(StragglerTest, NothingIsCopiedWhileJobsWait) {
  Warm(m_pool, 20, true);
  const TaskId straggler = SubmitStraggler("straggler", true);
  m_pool.Run(100ms);
  for (int i = 0; i < 40; ++i) {
    StepSpec step = MakeStep(8, 8000, 500ms);
    step.image = "image";
    m_pool.Submit(MakeJob("load" + std::to_string(i), {step}));
  }
  m_pool.Run(4s);
  EXPECT_EQ(m_pool.starts[straggler], 1);
}

// Guards against copies in comparisons with declared times, which know no stragglers.
TEST_F(StragglerTest, NothingIsCopiedByDeclaredTimes) {
  m_pool.make_durations = [] { return MakeDurationModel(RunTimeUse::kDeclared); };
  m_pool.TakeOver();
  Warm(m_pool, 20, true);
  const TaskId straggler = SubmitStraggler("straggler", true);
  ASSERT_TRUE(m_pool.RunUntilFinal(straggler.job, 8s));
  EXPECT_EQ(m_pool.starts[straggler], 1);
}

// Load pattern: all tasks of an image become five times as long at once.
// Guards against copies of everything when the distributions are out of date.
TEST_F(StragglerTest, CopiesAreASmallShareOfTheRunningTasks) {
  Warm(m_pool, 20, true);
  for (auto& [name, executor] : m_pool.executors()) executor.slowdown_factor = 8;
  for (int i = 0; i < 20; ++i) {
    StepSpec step = MakeStep(1, 1000, 500ms);
    step.image = "image";
    step.copies_allowed = true;
    m_pool.Submit(MakeJob("long" + std::to_string(i), {step}));
  }
  int most = 0;
  for (int i = 0; i < 200; ++i) {
    m_pool.Step();
    int copied = 0;
    for (int job = 0; job < 20; ++job) {
      copied += m_pool.CopiesOf({.job = JobId("long" + std::to_string(job))}) > 1 ? 1 : 0;
    }
    most = std::max(most, copied);
  }
  EXPECT_LE(most, 1);
}

}  // namespace
}  // namespace citronferry::scheduling
