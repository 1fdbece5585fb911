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

// Checks the whole request path over the network, with entries and backend servers as separate
// processes. Fails if a request is not answered, if a caller receives the response to another
// request, or if a backend server runs more requests at a time than its 8 slots.
TEST(ProcessTest, ServesRequestsThroughSeveralEntries) {
  TestCluster cluster({});
  ASSERT_TRUE(cluster.StartServing());
  const standin::LoadReport report = cluster.RunLoad("manifest", "a", 300, 2s, 1);
  EXPECT_EQ(CountOutcome(report, "answered"), CountRequests(report)) << report.ToJson();
  EXPECT_EQ(report.mismatched_responses, 0);
  for (size_t i = 0; i < 4; ++i) EXPECT_LE(cluster.ReadBackendCounter(i, "max_running"), 8);
}

// Fails if a request is lost or gets the response to another request when an entry is killed.
// Callers retry with the same idempotency key at another entry.
TEST(ProcessTest, RetriedRequestsAreAnsweredWhenAnEntryIsKilled) {
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

// Fails if a non-idempotent request runs twice: the entry that sent it to a backend server is
// killed, and the caller retries at another entry.
TEST(ProcessTest, NonIdempotentRequestsRunAtMostOnceWhenAnEntryIsKilled) {
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

// Simulates an outage of the platform and its table service. Idempotent requests need no claim in
// the table service and must still be answered. Non-idempotent requests cannot be claimed and must
// be reported as not run. They are sent again with the same keys after the outage, so that a
// backend server reports a request that it did run during the outage as repeated.
TEST(ProcessTest, PlatformOutageStopsOnlyNonIdempotentRequests) {
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

// Fails if a published configuration does not reach every entry within the required 4 s.
TEST(ProcessTest, EveryEntryAdoptsConfigurationWithinFourSeconds) {
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

// Fails if SIGTERM aborts requests in flight (P7): the entry must answer them and then exit with 0.
TEST(ProcessTest, GracefulShutdownCompletesRequestsInFlight) {
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

// Fails if an entry runs requests again after it was suspended (SIGSTOP) and resumed. Its leases
// expire while it is suspended, so other entries may have run the requests in the meantime.
TEST(ProcessTest, ResumedEntryRepeatsNoRequest) {
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
