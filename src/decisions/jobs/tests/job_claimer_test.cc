#include "decisions/jobs/job_claimer.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace citronferry::jobs {
namespace {

constexpr TimePoint kStart{100s};

JobRow MakeRow(std::string_view id, State state = State::kAccepted, std::string_view queue = "q",
               uint64_t version = 1) {
  JobRow row{.id = JobId(id), .version = version};
  row.job.state = state;
  row.job.queue = QueueName(queue);
  return row;
}

JobClaimer MakeClaimer(std::string_view self, bool idempotent) {
  JobClaimer claimer{EntryId(self)};
  claimer.Handle(RosterChanged{{EntryId("a"), EntryId("b"), EntryId("c")}}, kStart);
  claimer.Handle(QueuesChanged{{{QueueName("q"), {.idempotent = idempotent, .max_attempts = 3}}}},
                 kStart);
  return claimer;
}

/// Reads the change feed every second.
/// @return the actions and when they were taken.
std::vector<std::pair<Duration, Action>> Watch(JobClaimer& claimer, std::vector<JobRow> rows,
                                               Duration duration) {
  std::vector<std::pair<Duration, Action>> taken;
  for (Duration passed{}; passed < duration; passed += 1s) {
    FeedRead read{.rows = std::exchange(rows, {})};
    for (Action& action : claimer.Handle(read, kStart + passed)) {
      taken.emplace_back(passed, std::move(action));
    }
  }
  return taken;
}

// Fails if all entries try a job at once, which costs a conditional write for each of them, or if
// the job waits forever because only the entry with the first rank tries it and that entry is down.
TEST(JobClaimerTest, EntriesTryOneAfterTheOther) {
  std::vector<Duration> first_tries;
  for (const char* self : {"a", "b", "c"}) {
    JobClaimer claimer = MakeClaimer(self, true);
    const auto taken = Watch(claimer, {MakeRow("j")}, 20s);
    ASSERT_EQ(taken.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<TryJob>(taken[0].second));
    first_tries.push_back(taken[0].first);
  }
  std::sort(first_tries.begin(), first_tries.end());
  EXPECT_EQ(first_tries, (std::vector<Duration>{0s, 3s, 6s}));
}

// Fails if a non-idempotent job is run a second time after its holder was lost, or it is left
// without an answer.
TEST(JobClaimerTest, ExpiredClaimIsRunAgainOnlyWhenIdempotent) {
  for (const bool idempotent : {true, false}) {
    JobClaimer claimer = MakeClaimer("a", idempotent);
    const auto taken = Watch(claimer, {MakeRow("j", State::kClaimed)}, 60s);
    ASSERT_FALSE(taken.empty());
    EXPECT_GE(taken[0].first, kLeaseDuration);
    if (idempotent) {
      EXPECT_TRUE(std::holds_alternative<TryJob>(taken[0].second));
    } else {
      ASSERT_TRUE(std::holds_alternative<EndJob>(taken[0].second));
      EXPECT_EQ(std::get<EndJob>(taken[0].second).answer.outcome, requests::Outcome::kUnknown);
    }
  }
}

// Fails if jobs are taken over from live holders right after an outage of the store or a pause of
// this process, because the time without reads counts against their leases.
TEST(JobClaimerTest, GapBetweenReadsIsNotCountedAgainstTheHolder) {
  JobClaimer claimer = MakeClaimer("a", false);
  claimer.Handle(FeedRead{{MakeRow("j", State::kClaimed)}}, kStart);
  EXPECT_TRUE(claimer.Handle(FeedRead{}, kStart + 100s).empty());
}

// Fails if a job of a removed queue waits forever, or if an entry that has not read the
// configuration yet ends jobs because it knows no queues.
TEST(JobClaimerTest, JobOfARemovedQueueFails) {
  JobClaimer unconfigured{EntryId("a")};
  EXPECT_TRUE(Watch(unconfigured, {MakeRow("j")}, 20min).empty());
  JobClaimer claimer = MakeClaimer("a", true);
  const auto taken = Watch(claimer, {MakeRow("j", State::kAccepted, "removed")}, 11min);
  ASSERT_FALSE(taken.empty());
  EXPECT_GE(taken[0].first, 10min);
  EXPECT_EQ(std::get<EndJob>(taken[0].second).answer.outcome, requests::Outcome::kFailed);
}

// Fails if an entry tries more jobs at once than its limit, or it still counts jobs that have
// ended.
TEST(JobClaimerTest, TriesAreBounded) {
  JobClaimer claimer = MakeClaimer("a", true);
  std::vector<JobRow> rows;
  for (int i = 0; i < 100; ++i) rows.push_back(MakeRow("j" + std::to_string(i)));
  EXPECT_EQ(Watch(claimer, rows, 20s).size(), JobClaimerOptions{}.max_concurrent_tries);
  claimer.Handle(TryEnded{JobId("j1")}, kStart + 20s);
  FeedRead ended{{MakeRow("j2", State::kEnded, "q", 2)}};
  claimer.Handle(ended, kStart + 21s);
  EXPECT_EQ(claimer.open_count(), 99u);
}

// Fails if two entries both claim or both end a job. Three claimers read the same row with random
// delays, and only the first write for each version succeeds.
TEST(JobClaimerTest, EachVersionIsChangedOnce) {
  EXPECT_TRUE(rc::check([] {
    const bool idempotent = *rc::gen::arbitrary<bool>();
    std::vector<JobClaimer> claimers;
    for (const char* self : {"a", "b", "c"}) claimers.push_back(MakeClaimer(self, idempotent));
    JobRow row = MakeRow("j");
    int runs = 0;
    int ends = 0;
    for (int second = 0; second < 400; ++second) {
      const TimePoint now = kStart + std::chrono::seconds(second);
      const auto index = static_cast<size_t>(*rc::gen::inRange(0, 3));
      for (const Action& action : claimers[index].Handle(FeedRead{{row}}, now)) {
        const auto* attempt = std::get_if<TryJob>(&action);
        const uint64_t expected =
            attempt ? attempt->row.version : std::get<EndJob>(action).row.version;
        if (attempt) claimers[index].Handle(TryEnded{row.id}, now);
        if (expected != row.version) continue;
        ++row.version;
        if (!attempt) {
          row.job.state = State::kEnded;
          ++ends;
          continue;
        }
        ++runs;
        ++row.job.attempts;
        // The holder dies during the run, or records an answer.
        row.job.state = *rc::gen::inRange(0, 3) == 0 ? State::kEnded : State::kClaimed;
        if (row.job.state == State::kEnded) ++ends;
      }
    }
    RC_ASSERT(ends == 1);
    RC_ASSERT(runs <= (idempotent ? 3 : 1));
  }));
}

}  // namespace
}  // namespace citronferry::jobs

int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 1);
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
