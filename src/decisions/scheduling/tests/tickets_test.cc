// Which executors the placement adviser is asked about. Guards against accepted jobs that never
// start, although executors that may run them have room.
#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_adviser.h"

namespace citronferry::scheduling {
namespace {

constexpr Resources kLarge{.cpu_millicores = 64000, .memory_mb = 64000};
constexpr Resources kSmall{.cpu_millicores = 32000, .memory_mb = 64000};

std::set<ExecutorId> AddExecutors(FakePool& pool, int count, Resources capacity) {
  std::set<ExecutorId> added;
  for (int i = 0; i < count; ++i) added.insert(pool.AddExecutor(capacity));
  pool.TakeOver();
  return added;
}

StepSpec MakeSpreadStep(int replicas, int64_t cpu, Duration duration) {
  StepSpec step = MakeStep(replicas, cpu, duration);
  step.max_per_executor = 1;
  return step;
}

// Guards against calls that name the same emptiest executors each time, so that a job starts
// nowhere if its policy allows none of them (review/14).
TEST(TicketsTest, ExecutorsThatAreNotTheEmptiestAreAskedAbout) {
  FakePool pool(36, kLarge);
  const std::set<ExecutorId> allowed = AddExecutors(pool, 4, kSmall);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [&](const ExecutorId& id) { return allowed.contains(id); });
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 500ms)}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("a"), 1, 500ms));
}

// Guards against calls without an end for a step that no executor may run, which delay those for
// other steps. Executors that join are asked about.
TEST(TicketsTest, RefusedExecutorsAreNotAskedAboutAgain) {
  FakePool pool(40, kLarge);
  pool.Run(100ms);
  std::set<ExecutorId> allowed;
  FakeAdviser adviser(pool, [&](const ExecutorId& id) { return allowed.contains(id); });
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 500ms)}));
  adviser.Run(10s);
  EXPECT_EQ(adviser.asked.size(), 40u);
  for (const auto& [id, times] : adviser.asked) EXPECT_EQ(times, 1) << id.view();
  const ExecutorId joined = pool.AddExecutor(kLarge);
  allowed.insert(joined);
  pool.scheduler().ListExecutor(pool.executor(joined.view()).info(), pool.now());
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("a"), 1, 1s));
}

// Guards against a refusal that outlasts the incarnation of an executor: the next one may be of a
// kind that the policy allows.
TEST(TicketsTest, RestartedExecutorIsAskedAboutAgain) {
  FakePool pool(3);
  pool.Run(100ms);
  bool allowed = false;
  FakeAdviser adviser(pool, [&](const ExecutorId&) { return allowed; });
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 500ms)}));
  adviser.Run(1s);
  EXPECT_EQ(adviser.asked.size(), 3u);
  pool.executor("x1").Restart();
  allowed = true;
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("a"), 1, 1s));
  EXPECT_EQ(adviser.asked.at(ExecutorId("x0")), 1);
  EXPECT_TRUE(pool.executor("x1").Runs({.job = JobId("a")}));
}

// Guards against tickets that are used for another incarnation of their executor.
TEST(TicketsTest, TicketsEndWithTheIncarnation) {
  FakePool pool(2);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [&](const ExecutorId& id) { return id == ExecutorId("x1"); });
  pool.Submit(MakeJob("a", {MakeSpreadStep(2, 1000, 20s)}));
  ASSERT_TRUE(adviser.RunUntilStarted(JobId("a"), 1, 1s));
  pool.executor("x1").Restart();
  adviser.Run(2s);
  EXPECT_EQ(adviser.asked.at(ExecutorId("x1")), 2);
}

// Guards against a step that starts in part only: it has more tasks than a call names executors,
// and an executor may run one of them.
TEST(TicketsTest, StepWiderThanACallStartsInFull) {
  FakePool pool(60);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId&) { return true; });
  pool.Submit(MakeJob("a", {MakeSpreadStep(50, 1000, 20s)}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("a"), 50, 1s));
}

// Guards against a gang that never has tickets for all of its members at the same time: it is wider
// than a call, and tickets are valid for less time than two calls take.
TEST(TicketsTest, GangWiderThanACallStarts) {
  FakePool pool(120);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId& id) { return id.view().back() % 2 == 0; });
  adviser.validity = 400ms;
  StepSpec gang = MakeSpreadStep(50, 1000, 20s);
  gang.gang_scheduled = true;
  pool.Submit(MakeJob("a", {gang}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("a"), 50, 2s));
  EXPECT_LE(adviser.most_candidates, FakeAdviser::kMaxExecutors);
}

// Guards against tickets for full executors that keep others from being asked about.
TEST(TicketsTest, ExecutorsWithRoomAreAskedAboutWhenThoseWithTicketsAreFull) {
  FakePool pool(40);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId&) { return true; });
  pool.Submit(MakeJob("a", {MakeStep(40, 16000, 20s)}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("a"), 40, 1s));
}

// Guards against calls that name executors on which the step cannot run: without its label, or with
// too little memory.
TEST(TicketsTest, OnlyExecutorsThatTheStepCanUseAreAskedAbout) {
  FakePool pool(40, kLarge);
  const std::set<ExecutorId> suitable =
      AddExecutors(pool, 4, {.cpu_millicores = 16000, .memory_mb = 128'000});
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId&) { return true; });
  StepSpec step = MakeStep(1, 1000, 500ms);
  step.request.memory_mb = 100'000;
  pool.Submit(MakeJob("memory", {step}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("memory"), 1, 200ms));
  step = MakeStep(1, 1000, 500ms);
  step.required_label = "r10";
  pool.Submit(MakeJob("label", {step}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("label"), 1, 200ms));
  for (const auto& [id, times] : adviser.asked) EXPECT_TRUE(suitable.contains(id)) << id.view();
}

// Guards against tasks that run slowly off the rack of their data, because its executors were not
// asked about.
TEST(TicketsTest, ExecutorsNearTheDataAreAskedAboutFirst) {
  FakePool pool(40, kLarge);
  AddExecutors(pool, 4, kSmall);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId&) { return true; });
  StepSpec step = MakeStep(1, 1000, 500ms);
  step.data_rack = RackName("r10");
  pool.Submit(MakeJob("a", {step}));
  ASSERT_TRUE(adviser.RunUntilStarted(JobId("a"), 1, 500ms));
  int near = 0;
  for (const auto& [id, executor] : pool.executors()) {
    if (executor.Runs({.job = JobId("a")})) near += executor.info().rack == RackName("r10") ? 1 : 0;
  }
  EXPECT_EQ(near, 1);
}

// Guards against a call that failed and counts as a refusal of its executors.
TEST(TicketsTest, FailedCallIsRepeated) {
  FakePool pool(3);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId&) { return true; });
  adviser.fails = true;
  pool.Submit(MakeJob("a", {MakeStep(1, 1000, 500ms)}));
  adviser.Run(1s);
  EXPECT_GT(adviser.calls, 1);
  adviser.fails = false;
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("a"), 1, 500ms));
}

// Guards against tickets that expire while a step waits and are not renewed.
TEST(TicketsTest, ExpiredTicketsAreRenewed) {
  FakePool pool(1);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId&) { return true; });
  adviser.validity = 300ms;
  pool.Submit(MakeJob("first", {MakeStep(1, 16000, 3s)}));
  ASSERT_TRUE(adviser.RunUntilStarted(JobId("first"), 1, 500ms));
  pool.Submit(MakeJob("second", {MakeStep(1, 16000, 500ms)}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("second"), 1, 4s));
}

// Guards against steps that fit nowhere and whose tickets are renewed again and again, while a step
// that would fit waits for its call.
TEST(TicketsTest, StepsWithoutRoomDoNotKeepOthersFromTheAdviser) {
  FakePool pool(4);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId&) { return true; });
  adviser.validity = 300ms;
  pool.Submit(MakeJob("running", {MakeStep(4, 10000, 60s)}));
  ASSERT_TRUE(adviser.RunUntilStarted(JobId("running"), 4, 500ms));
  for (int i = 0; i < 200; ++i) {
    pool.Submit(MakeJob("large" + std::to_string(i), {MakeStep(1, 16000, 500ms)}));
  }
  adviser.Run(1s);
  pool.Submit(MakeJob("small", {MakeStep(1, 1000, 500ms)}));
  EXPECT_TRUE(adviser.RunUntilStarted(JobId("small"), 1, 500ms));
}

// Guards against a step that is passed over at the adviser by others that were accepted later.
TEST(TicketsTest, StepsTakeTurnsAtTheAdviser) {
  FakePool pool(100, kLarge);
  pool.Run(100ms);
  FakeAdviser adviser(pool, [](const ExecutorId& id) { return id == ExecutorId("x99"); });
  pool.executor("x99").run_time = [](const TaskId&, const StepSpec&) { return 100ms; };
  pool.Submit(MakeJob("first", {MakeStep(1, 1000, 100ms)}));
  for (int i = 0; i < 20; ++i) {
    adviser.Run(100ms);
    pool.Submit(MakeJob("later" + std::to_string(i), {MakeStep(1, 1000, 100ms)}));
  }
  adviser.Run(1s);
  EXPECT_TRUE(pool.starts.contains({.job = JobId("first")}));
}

}  // namespace
}  // namespace citronferry::scheduling
