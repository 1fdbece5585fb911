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

}  // namespace
}  // namespace citronferry::scheduling
