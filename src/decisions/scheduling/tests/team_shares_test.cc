// Replays loads of several teams in a full pool, with and without shares of teams.
#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

constexpr double kWeight = 10;  // Jobs per second; each job takes two core-seconds.

/// Pool of 64 cores, with jobs of teams and the times that they take.
class TeamLoad {
 public:
  explicit TeamLoad(bool shares) {
    if (!shares) return;
    m_pool.scheduler().SetTeamWeights(
        {{TeamName("a"), kWeight}, {TeamName("b"), kWeight}, {TeamName("c"), kWeight}});
  }

  /// Submits jobs of teams at steady rates.
  /// @param rates jobs per second by team.
  void Run(Duration duration, const std::map<std::string, double>& rates) {
    for (const TimePoint end = m_pool.now() + duration; m_pool.now() < end;) {
      for (const auto& [team, rate] : rates) {
        m_due[team] += rate * ToSeconds(FakePool::kStep);
        for (; m_due[team] >= 1; m_due[team] -= 1) Submit(team);
      }
      m_pool.Step();
      for (auto& [id, job] : m_jobs) {
        if (!job.took && IsFinal(m_pool.State(id))) job.took = m_pool.now() - job.submitted_at;
      }
    }
  }

  /// @return the share of a team's jobs since a time that were in time.
  double InTime(const std::string& team, TimePoint since) const {
    constexpr Duration kObjective = 1400ms;  // 1.6 x 0.5 s + 0.6 s.
    double all = 0;
    double in_time = 0;
    for (const auto& [id, job] : m_jobs) {
      if (job.team != team || job.submitted_at < since) continue;
      ++all;
      if (job.took && *job.took <= kObjective) ++in_time;
    }
    return in_time / all;
  }
  size_t unfinished() const {
    return static_cast<size_t>(std::count_if(m_jobs.begin(), m_jobs.end(),
                                             [](const auto& entry) { return !entry.second.took; }));
  }
  double CoresOf(const std::string& team) {
    double cores = 0;
    for (const auto& [id, executor] : m_pool.executors()) {
      for (const auto& running : executor.running()) {
        if (m_jobs.at(running.task.job).team == team) cores += Cores(running.request);
      }
    }
    return cores;
  }
  TimePoint now() const { return m_pool.now(); }

 private:
  struct Submitted {
    std::string team;
    TimePoint submitted_at{};
    std::optional<Duration> took;
  };

  void Submit(const std::string& team) {
    JobDefinition job = MakeJob(team + std::to_string(m_jobs.size()), {MakeStep(4, 1000, 500ms)});
    job.team = TeamName(team);
    m_jobs[job.id] = {.team = team, .submitted_at = m_pool.now()};
    m_pool.Submit(std::move(job));
  }

  FakePool m_pool{4};
  std::map<std::string, double> m_due;
  std::map<JobId, Submitted> m_jobs;
};

// Replays the flood below with jobs in the order of arrival: 16 jobs of 4 cores run at a time.
// Returns the share of the jobs of b during the flood that are in time.
double InTimeInOrderOfArrival() {
  constexpr double kJobSeconds = 0.5;
  constexpr double kObjectiveSeconds = 1.4;
  constexpr double kStepSeconds = 0.02;
  std::vector<double> free_at(16, 0);
  std::map<std::string, double> due;
  double all = 0;
  double in_time = 0;
  for (double now = 0; now < 9; now += kStepSeconds) {
    const bool flood = now >= 3;
    for (const char* team : {"a", "b", "c"}) {
      due[team] += kStepSeconds * kWeight * (flood && *team == 'a' ? 7 : 1);
      for (; due[team] >= 1; due[team] -= 1) {
        double& slot = *std::min_element(free_at.begin(), free_at.end());
        slot = std::max(slot, now) + kJobSeconds;
        if (!flood || *team != 'b') continue;
        ++all;
        if (slot - now <= kObjectiveSeconds) ++in_time;
      }
    }
  }
  return in_time / all;
}

// Load pattern: one team sends seven times its usual load for six seconds to a full pool.
// Guards against a flood of one team that makes the jobs of the others late.
TEST(TeamSharesTest, FloodOfOneTeamDoesNotDelayTheOthers) {
  const auto replay = [](bool shares) {
    TeamLoad load(shares);
    load.Run(3s, {{"a", kWeight}, {"b", kWeight}, {"c", kWeight}});
    const TimePoint flood_at = load.now();
    load.Run(6s, {{"a", 7 * kWeight}, {"b", kWeight}, {"c", kWeight}});
    const double in_time = std::min(load.InTime("b", flood_at), load.InTime("c", flood_at));
    // The rest of the flood runs when the others leave room, and is not dropped.
    load.Run(30s, {});
    EXPECT_EQ(load.unfinished(), 0u);
    return in_time;
  };
  const double with_shares = replay(true);
  const double without_shares = replay(false);
  RecordProperty("with_shares", std::to_string(with_shares));
  RecordProperty("without_shares", std::to_string(without_shares));
  EXPECT_GE(with_shares, 0.85);
  EXPECT_GT(with_shares, without_shares);
  const double in_order_of_arrival = InTimeInOrderOfArrival();
  RecordProperty("in_order_of_arrival", std::to_string(in_order_of_arrival));
  EXPECT_GT(with_shares, in_order_of_arrival);
}

// Load pattern: a team without load for some time returns to a pool that two others fill.
// Guards against a team that waits for its share, and against one that takes more than its share
// because of its idle time.
TEST(TeamSharesTest, TeamBackFromIdlenessGetsItsShareWithoutCredit) {
  TeamLoad load(true);
  load.Run(8s, {{"b", 3 * kWeight}, {"c", 3 * kWeight}});
  EXPECT_GE(load.CoresOf("b") + load.CoresOf("c"), 50) << "the pool is not full";
  load.Run(1s, {{"a", 3 * kWeight}, {"b", 3 * kWeight}, {"c", 3 * kWeight}});
  EXPECT_GE(load.CoresOf("a"), 64.0 / 3 - 8);
  double sum = 0;
  for (int i = 0; i < 20; ++i) {
    load.Run(100ms, {{"a", 3 * kWeight}, {"b", 3 * kWeight}, {"c", 3 * kWeight}});
    sum += load.CoresOf("a");
  }
  EXPECT_LE(sum / 20, 64.0 / 3 + 8);
}

// Guards against capacity that is kept free for teams that do not need it.
TEST(TeamSharesTest, SingleTeamUsesTheWholePool) {
  TeamLoad load(true);
  load.Run(3s, {{"a", 5 * kWeight}});
  EXPECT_GE(load.CoresOf("a"), 56);
}

// Guards against a bucket that lets a team save up more than a burst.
TEST(TeamSharesTest, RateAllowsABurstOfAFewSeconds) {
  TeamShares shares;
  const TeamName team("a");
  shares.SetWeights({{team, 10}});
  int within = 0;
  for (int i = 0; i < 100; ++i) within += shares.OnArrival(team, TimePoint(100s)) ? 1 : 0;
  EXPECT_EQ(within, 30);
  for (int i = 0; i < 100; ++i) within += shares.OnArrival(team, TimePoint(101s)) ? 1 : 0;
  EXPECT_EQ(within, 40);
  for (int i = 0; i < 100; ++i) within += shares.OnArrival(team, TimePoint(900s)) ? 1 : 0;
  EXPECT_EQ(within, 70);
}

// Guards against a change of today's order where no team is configured.
TEST(TeamSharesTest, WithoutTeamsAllArrivalsAreWithinTheRate) {
  TeamShares shares;
  EXPECT_FALSE(shares.active());
  for (int i = 0; i < 1000; ++i) EXPECT_TRUE(shares.OnArrival({}, TimePoint(1s)));
}

}  // namespace
}  // namespace citronferry::scheduling
