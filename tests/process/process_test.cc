#include <gtest/gtest.h>
#include <signal.h>

#include "supervision/testing/event_loop.h"
#include "tests/process/rig.h"

namespace citronferry::test {
namespace {

int Count(const standin::LoadReport& report, const std::string& outcome) {
  const auto found = report.outcomes.find(outcome);
  return found == report.outcomes.end() ? 0 : found->second;
}

int Total(const standin::LoadReport& report) {
  int total = 0;
  for (const auto& [outcome, count] : report.outcomes) total += count;
  return total;
}

// Guards against a path that only works within one process: caller, entries and backend servers are
// processes of their own, and no executor runs more than its 8 slots.
TEST(ProcessTest, ServesThroughSeveralEntries) {
  Rig rig({});
  ASSERT_TRUE(rig.StartServing());
  const standin::LoadReport report = rig.RunLoad("manifest", "a", 300, 2s, 1);
  EXPECT_EQ(Count(report, "answered"), Total(report)) << report.ToJson();
  EXPECT_EQ(report.wrong_answers, 0);
  for (size_t i = 0; i < 4; ++i) EXPECT_LE(rig.BackendCount(i, "max_running"), 8);
}

// Guards against lost or doubled requests when an entry is killed: callers try again with the same
// key at another entry.
TEST(ProcessTest, ServesThroughAKilledEntry) {
  Rig rig({});
  ASSERT_TRUE(rig.StartServing());
  std::unique_ptr<standin::LoadReport> report;
  rig.StartLoad(rig.MakeLoadOptions("manifest", "k", 200, 3s, 4), report);
  const TimePoint start = rig.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return rig.timers().Now() - start > 1s; }));
  rig.entry(0).Signal(SIGKILL);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(Count(*report, "answered"), Total(*report)) << report->ToJson();
  EXPECT_EQ(report->wrong_answers, 0);
}

// Guards against a non-idempotent request that runs twice when the entry that sent it is killed and
// the caller tries again.
TEST(ProcessTest, NonIdempotentRequestsRunAtMostOnceThroughAKilledEntry) {
  Rig rig({});
  ASSERT_TRUE(rig.StartServing());
  std::unique_ptr<standin::LoadReport> report;
  rig.StartLoad(rig.MakeLoadOptions("tally", "n", 100, 3s, 4), report);
  const TimePoint start = rig.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return rig.timers().Now() - start > 1s; }));
  rig.entry(1).Signal(SIGKILL);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(rig.TotalCount("repeated"), 0) << report->ToJson();
  EXPECT_GE(Count(*report, "answered"), Total(*report) / 2) << report->ToJson();
  EXPECT_EQ(report->wrong_answers, 0);
}

// Guards against idempotent service that depends on the platform's store (P-store outage), and
// against non-idempotent requests that run without a claim while it is down.
TEST(ProcessTest, StoreOutageStopsOnlyWhatNeedsTheStore) {
  Rig rig({});
  ASSERT_TRUE(rig.StartServing());
  rig.SetPlatformSwitches("{\"outage\":true}");
  const standin::LoadReport idempotent = rig.RunLoad("manifest", "o", 100, 1s, 1);
  EXPECT_EQ(Count(idempotent, "answered"), Total(idempotent)) << idempotent.ToJson();
  const standin::LoadReport tally = rig.RunLoad("tally", "p", 50, 500ms, 1);
  EXPECT_EQ(Count(tally, "not-run"), Total(tally)) << tally.ToJson();
  rig.SetPlatformSwitches("{}");
  const standin::LoadReport after = rig.RunLoad("tally", "p", 50, 500ms, 1);
  EXPECT_EQ(Count(after, "answered"), Total(after)) << after.ToJson();
  EXPECT_EQ(rig.TotalCount("repeated"), 0);
}

// Guards against a configuration that reaches only some entries. The bound of the target is 4 s.
TEST(ProcessTest, ConfigurationIsInForceEverywhereWithinFourSeconds) {
  Rig rig({});
  ASSERT_TRUE(rig.StartServing());
  ASSERT_TRUE(rig.PublishConfiguration(2, rig.MakeDocument(500)));
  const TimePoint start = rig.timers().Now();
  const auto everywhere = [&] {
    for (size_t i = 0; i < 3; ++i) {
      if (!rig.entry(i).log().contains("\"configuration_adopted\",\"version\":2")) return false;
    }
    return true;
  };
  ASSERT_TRUE(ProcessEventsUntil([&] { return everywhere() || rig.timers().Now() - start > 4s; }));
  EXPECT_TRUE(everywhere());
}

// Guards against a graceful shutdown that cuts off requests in flight (P7).
TEST(ProcessTest, GracefulShutdownCutsOffNothing) {
  Rig rig({});
  ASSERT_TRUE(rig.StartServing());
  for (size_t i = 0; i < 4; ++i) rig.SetBackendSwitches(i, "{\"run_ms\":800}");
  std::unique_ptr<standin::LoadReport> report;
  standin::LoadOptions options = rig.MakeLoadOptions("tally", "g", 20, 500ms, 1);
  options.targets = {rig.caller_url(0)};
  rig.StartLoad(options, report);
  const TimePoint start = rig.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return rig.timers().Now() - start > 600ms; }));
  rig.entry(0).Signal(SIGTERM);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(Count(*report, "answered"), Total(*report)) << report->ToJson();
  EXPECT_TRUE(rig.entry(0).WaitForExit());
  EXPECT_EQ(rig.entry(0).exit_code(), 0) << rig.entry(0).log().right(3000).constData();
}

// Guards against a frozen entry that doubles work after it wakes (leases lapse while paused).
TEST(ProcessTest, FrozenEntryDoublesNothingWhenItWakes) {
  Rig rig({});
  ASSERT_TRUE(rig.StartServing());
  std::unique_ptr<standin::LoadReport> report;
  standin::LoadOptions options = rig.MakeLoadOptions("tally", "f", 50, 3s, 4);
  options.deadline = 1s;
  rig.StartLoad(options, report);
  const TimePoint start = rig.timers().Now();
  ASSERT_TRUE(ProcessEventsUntil([&] { return rig.timers().Now() - start > 500ms; }));
  rig.entry(2).Signal(SIGSTOP);
  ASSERT_TRUE(ProcessEventsUntil([&] { return rig.timers().Now() - start > 3s; }));
  rig.entry(2).Signal(SIGCONT);
  ASSERT_TRUE(ProcessEventsUntil([&] { return report != nullptr; }));
  EXPECT_EQ(rig.TotalCount("repeated"), 0) << report->ToJson();
}

}  // namespace
}  // namespace citronferry::test
