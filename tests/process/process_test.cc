#include <gtest/gtest.h>
#include <signal.h>

#include "supervision/testing/event_loop.h"
#include "tests/process/test_cluster.h"

namespace citronferry::test {
namespace {

int CountOutcome(const standin::LoadReport& report, const std::string& outcome) {
  const auto found = report.outcomes.find(outcome);
  return found == report.outcomes.end() ? 0 : found->second;
}

int CountRequests(const standin::LoadReport& report) {
  int total = 0;
  for (const auto& [outcome, count] : report.outcomes) total += count;
  return total;
}

// Guards against a path that only works within one process: caller, entries and backend servers are
// processes of their own, and no executor runs more than its 8 slots.
TEST(ProcessTest, ServesThroughSeveralEntries) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  const standin::LoadReport report = cluster.RunLoad("manifest", "a", 300, 2s, 1);
  EXPECT_EQ(CountOutcome(report, "answered"), CountRequests(report)) << report.ToJson();
  EXPECT_EQ(report.mismatched_responses, 0);
  for (size_t i = 0; i < 4; ++i) EXPECT_LE(cluster.ReadBackendCounter(i, "max_running"), 8);
}

// Guards against lost or doubled requests when an entry is killed: callers try again with the same
// key at another entry.
TEST(ProcessTest, ServesThroughAKilledEntry) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  std::unique_ptr<standin::LoadReport> report;
  cluster.StartLoad(cluster.MakeLoadOptions("manifest", "k", 200, 3s, 4), report);
  const TimePoint start = cluster.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return cluster.timers().Now() - start > 1s; }));
  cluster.entry(0).Signal(SIGKILL);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(CountOutcome(*report, "answered"), CountRequests(*report)) << report->ToJson();
  EXPECT_EQ(report->mismatched_responses, 0);
}

// Guards against a non-idempotent request that runs twice when the entry that sent it is killed and
// the caller tries again.
TEST(ProcessTest, NonIdempotentRequestsRunAtMostOnceThroughAKilledEntry) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  std::unique_ptr<standin::LoadReport> report;
  cluster.StartLoad(cluster.MakeLoadOptions("tally", "n", 100, 3s, 4), report);
  const TimePoint start = cluster.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return cluster.timers().Now() - start > 1s; }));
  cluster.entry(1).Signal(SIGKILL);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(cluster.SumBackendCounters("repeated"), 0) << report->ToJson();
  EXPECT_GE(CountOutcome(*report, "answered"), CountRequests(*report) / 2) << report->ToJson();
  EXPECT_EQ(report->mismatched_responses, 0);
}

// Guards against idempotent service that depends on the platform's store (P-store outage), and
// against non-idempotent requests that run without a claim while it is down.
TEST(ProcessTest, StoreOutageStopsOnlyWhatNeedsTheStore) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  cluster.SetPlatformSwitches("{\"outage\":true}");
  const standin::LoadReport idempotent = cluster.RunLoad("manifest", "o", 100, 1s, 1);
  EXPECT_EQ(CountOutcome(idempotent, "answered"), CountRequests(idempotent)) << idempotent.ToJson();
  const standin::LoadReport tally = cluster.RunLoad("tally", "p", 50, 500ms, 1);
  EXPECT_EQ(CountOutcome(tally, "not-run"), CountRequests(tally)) << tally.ToJson();
  cluster.SetPlatformSwitches("{}");
  const standin::LoadReport after = cluster.RunLoad("tally", "p", 50, 500ms, 1);
  EXPECT_EQ(CountOutcome(after, "answered"), CountRequests(after)) << after.ToJson();
  EXPECT_EQ(cluster.SumBackendCounters("repeated"), 0);
}

// Guards against a configuration that reaches only some entries. The bound of the target is 4 s.
TEST(ProcessTest, ConfigurationIsInForceEverywhereWithinFourSeconds) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  ASSERT_TRUE(cluster.PublishConfiguration(2, cluster.MakeDocument(500)));
  const TimePoint start = cluster.timers().Now();
  const auto adopted_on_every_entry = [&] {
    for (size_t i = 0; i < 3; ++i) {
      if (!cluster.entry(i).log().contains("\"configuration_adopted\",\"version\":2")) return false;
    }
    return true;
  };
  ASSERT_TRUE(ProcessEventsUntil(
      [&] { return adopted_on_every_entry() || cluster.timers().Now() - start > 4s; }));
  EXPECT_TRUE(adopted_on_every_entry());
}

// Guards against a graceful shutdown that cuts off requests in flight (P7).
TEST(ProcessTest, GracefulShutdownCutsOffNothing) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  for (size_t i = 0; i < 4; ++i) cluster.SetBackendSwitches(i, "{\"run_ms\":800}");
  std::unique_ptr<standin::LoadReport> report;
  standin::LoadOptions options = cluster.MakeLoadOptions("tally", "g", 20, 500ms, 1);
  options.targets = {cluster.caller_url(0)};
  cluster.StartLoad(options, report);
  const TimePoint start = cluster.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return cluster.timers().Now() - start > 600ms; }));
  cluster.entry(0).Signal(SIGTERM);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(CountOutcome(*report, "answered"), CountRequests(*report)) << report->ToJson();
  EXPECT_TRUE(cluster.entry(0).WaitForExit());
  EXPECT_EQ(cluster.entry(0).exit_code(), 0) << cluster.entry(0).log().right(3000).constData();
}

// Guards against a frozen entry that doubles work after it wakes (leases lapse while paused).
TEST(ProcessTest, FrozenEntryDoublesNothingWhenItWakes) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  std::unique_ptr<standin::LoadReport> report;
  standin::LoadOptions options = cluster.MakeLoadOptions("tally", "f", 50, 3s, 4);
  options.deadline = 1s;
  cluster.StartLoad(options, report);
  const TimePoint start = cluster.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return cluster.timers().Now() - start > 500ms; }));
  cluster.entry(2).Signal(SIGSTOP);
  ASSERT_TRUE(ProcessEventsUntil([&] { return cluster.timers().Now() - start > 3s; }));
  cluster.entry(2).Signal(SIGCONT);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(cluster.SumBackendCounters("repeated"), 0) << report->ToJson();
}

}  // namespace
}  // namespace citronferry::test
