#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

const TeamName kTeam("team");
constexpr int64_t kQuota = 16'000;
constexpr int64_t kNoLimit = 1'000'000'000'000'000;

JobDefinition MakeTeamJob(std::string_view id, StepSpec step, const TeamName& team = kTeam) {
  JobDefinition job = MakeJob(id, {std::move(step)});
  job.team = team;
  return job;
}

void LimitCpu(FakePool& pool, int64_t millicores, int64_t version = 1) {
  pool.scheduler().SetTeamLimits(
      {{kTeam,
        {.limit = {.cpu_millicores = millicores, .memory_mb = kNoLimit, .gpus = kNoLimit},
         .quota = {.cpu_millicores = kQuota},
         .configuration_version = version}}});
}

int64_t UsedCpu(FakePool& pool, std::string_view prefix) {
  int64_t sum = 0;
  for (const auto& [id, executor] : pool.executors()) {
    for (const auto& running : executor.running()) {
      if (running.task.job.view().starts_with(prefix)) sum += running.request.cpu_millicores;
    }
  }
  return sum;
}

// Guards against a start beyond the limit, also after runs of the team have ended.
TEST(TeamQuotasTest, StartsStayWithinTheLimit) {
  FakePool pool(2);
  LimitCpu(pool, 5000);
  for (int i = 0; i < 10; ++i) {
    pool.Submit(MakeTeamJob("a" + std::to_string(i), MakeStep(3, 1000, 300ms)));
  }
  int64_t most = 0;
  for (int i = 0; i < 150; ++i) {
    pool.Step();
    most = std::max(most, UsedCpu(pool, "a"));
  }
  EXPECT_EQ(most, 5000);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(pool.State(JobId("a" + std::to_string(i))), JobState::kCompleted);
  }
  EXPECT_EQ(pool.scheduler().TeamUses()[kTeam].used, Resources());
}

// Guards against a team at its limit whose waiting steps count as steps without capacity, which
// keeps the steps of others from being placed.
TEST(TeamQuotasTest, TeamAtItsLimitDoesNotHoldUpOthers) {
  FakePool pool(2);
  LimitCpu(pool, 1000);
  // Shorter tasks rank first.
  for (int i = 0; i < 100; ++i) {
    pool.Submit(MakeTeamJob("a" + std::to_string(i), MakeStep(1, 1000, 500ms)));
  }
  pool.Submit(MakeTeamJob("b", MakeStep(4, 2000, 1s), TeamName("other")));
  pool.Run(200ms);
  EXPECT_EQ(UsedCpu(pool, "b"), 8000);
  EXPECT_EQ(UsedCpu(pool, "a"), 1000);
  EXPECT_GT(pool.scheduler().TeamUses()[kTeam].waiting.cpu_millicores, 0);
}

// Guards against a gang of which only the part within the limit is started.
TEST(TeamQuotasTest, GangStartsWholeOrNotAtAll) {
  FakePool pool(2);
  LimitCpu(pool, 3500);
  StepSpec gang = MakeStep(4, 1000, 300ms);
  gang.gang_scheduled = true;
  pool.Submit(MakeTeamJob("a", gang));
  pool.Run(500ms);
  EXPECT_EQ(UsedCpu(pool, "a"), 0);
  EXPECT_EQ(pool.scheduler().TeamUses()[kTeam].unit.cpu_millicores, 4000);
  LimitCpu(pool, 4000);
  EXPECT_TRUE(pool.RunUntilFinal(JobId("a"), 2s));
}

// Guards against long-running tasks that do not count.
TEST(TeamQuotasTest, LongRunningTasksCount) {
  FakePool pool(2);
  LimitCpu(pool, 3000);
  StepSpec service = MakeStep(5, 1000, 1s);
  service.long_running = true;
  pool.Submit(MakeTeamJob("a", service));
  pool.Run(1s);
  EXPECT_EQ(UsedCpu(pool, "a"), 3000);
}

// Guards against runs on an unreachable executor that are taken for ended before its lease has
// expired.
TEST(TeamQuotasTest, RunsOfUnreachableExecutorCount) {
  FakePool pool(2);
  LimitCpu(pool, 2000);
  pool.Submit(MakeTeamJob("a", MakeStep(2, 1000, 20s)));
  pool.Run(200ms);
  for (auto& [id, executor] : pool.executors()) {
    if (!executor.running().empty()) executor.reachable = false;
  }
  pool.Submit(MakeTeamJob("b", MakeStep(1, 1000, 200ms)));
  pool.Run(4s);
  EXPECT_EQ(UsedCpu(pool, "b"), 0);
}

// Guards against a successor that starts tasks beside runs that it does not know of yet.
TEST(TeamQuotasTest, SuccessorCountsExecutorsThatHaveNotReported) {
  FakePool pool(2);
  LimitCpu(pool, 4000);
  pool.Submit(MakeTeamJob("a", MakeStep(4, 1000, 20s)));
  pool.Run(200ms);
  ASSERT_EQ(UsedCpu(pool, "a"), 4000);
  for (auto& [id, executor] : pool.executors()) executor.reachable = false;
  pool.TakeOver();
  LimitCpu(pool, 4000);
  pool.AddExecutor({.cpu_millicores = 16000, .memory_mb = 64000});
  pool.scheduler().ListExecutor(pool.executor("x2").info(), pool.now());
  pool.Submit(MakeTeamJob("b", MakeStep(1, 1000, 200ms)));
  pool.Run(2s);
  EXPECT_EQ(UsedCpu(pool, "b"), 0);
  EXPECT_GE(pool.scheduler().TeamUses()[kTeam].unresolved.cpu_millicores, 4000);
}

// Guards against a request that can never start and for which other pools return their grants.
TEST(TeamQuotasTest, RequestBeyondTheQuotaIsNotWaitedFor) {
  FakePool pool(2, {.cpu_millicores = 64000, .memory_mb = 64000});
  LimitCpu(pool, 1000);
  pool.Submit(MakeTeamJob("a", MakeStep(1, kQuota + 1, 200ms)));
  pool.Run(200ms);
  EXPECT_EQ(pool.scheduler().TeamUses()[kTeam].waiting, Resources());
  EXPECT_TRUE(pool.Noted("quota_wait"));
}

// Guards against a log line for each planning round in which a job waits.
TEST(TeamQuotasTest, WaitingIsReportedOnceForEachConfiguration) {
  FakePool pool(1);
  LimitCpu(pool, 1000);
  pool.Submit(MakeTeamJob("a", MakeStep(1, 2000, 200ms)));
  const auto reports = [&] {
    int count = 0;
    for (int i = 0; i < 20; ++i) {
      pool.scheduler().Plan(pool.now() + 10ms * i);
      for (const SchedulerNote& note : pool.scheduler().TakeNotes()) {
        if (note.event != "quota_wait") continue;
        ++count;
        EXPECT_NE(note.detail.find("quota 16000"), std::string::npos) << note.detail;
      }
    }
    return count;
  };
  EXPECT_EQ(reports(), 1);
  LimitCpu(pool, 1000, 2);
  EXPECT_EQ(reports(), 1);
}

}  // namespace
}  // namespace citronferry::scheduling
