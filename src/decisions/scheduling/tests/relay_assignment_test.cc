#include "decisions/scheduling/relay_assignment.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

const PoolName kPool("pool-a");
const std::vector<PoolName> kPools{PoolName("pool-a"), PoolName("pool-b"), PoolName("pool-c")};
constexpr EntryCapacity kSmall{.cores = 0.12, .link_mbps = 2};
constexpr EntryCapacity kLarge{.cores = 0.25, .link_mbps = 1000};

std::vector<RelayCandidate> Candidates(int count) {
  std::vector<RelayCandidate> candidates;
  for (int i = 0; i < count; ++i) {
    candidates.push_back({.entry = EntryId("e" + std::to_string(i)), .capacity = kSmall});
  }
  return candidates;
}

std::vector<ExecutorId> Executors(int count) {
  std::vector<ExecutorId> executors;
  for (int i = 0; i < count; ++i) executors.emplace_back("x" + std::to_string(i));
  return executors;
}

std::map<EntryId, int> Loads(const std::map<ExecutorId, EntryId>& assigned) {
  std::map<EntryId, int> loads;
  for (const auto& [executor, entry] : assigned) ++loads[entry];
  return loads;
}

// Guards against an additional hop on deployments whose owners can serve their pools alone.
TEST(RelayAssignmentTest, CapableOwnerCallsDirectly) {
  EXPECT_TRUE(AssignRelays(kPool, kPools, kLarge, Candidates(6), Executors(12)).empty());
}

// Guards against a surge that one small entry has to carry: each relay serves what its link and its
// processor allow, and only the rest is called directly.
TEST(RelayAssignmentTest, NoRelayServesMoreThanItsCapacity) {
  const auto assigned = AssignRelays(kPool, kPools, kSmall, Candidates(18), Executors(20));
  EXPECT_EQ(assigned.size(), 20u);
  for (const auto& [entry, load] : Loads(assigned)) {
    EXPECT_LE(load, ExecutorsPerEntry(kSmall)) << entry.view();
  }
  EXPECT_EQ(AssignRelays(kPool, kPools, kSmall, Candidates(2), Executors(20)).size(),
            static_cast<size_t>(2 * ExecutorsPerEntry(kSmall)));
  EXPECT_TRUE(AssignRelays(kPool, kPools, kSmall, {}, Executors(20)).empty());
}

// Guards against relays that all pools share while other entries serve none.
TEST(RelayAssignmentTest, PoolsPreferDifferentEntries) {
  std::map<EntryId, int> pools_of;
  for (const PoolName& pool : kPools) {
    const auto assigned = AssignRelays(pool, kPools, kSmall, Candidates(30), Executors(20));
    for (const auto& [entry, load] : Loads(assigned)) ++pools_of[entry];
  }
  for (const auto& [entry, pools] : pools_of) EXPECT_EQ(pools, 1) << entry.view();
}

// Guards against new connections to most executors when one relay is lost.
TEST(RelayAssignmentTest, LossOfARelayMovesFewExecutors) {
  std::vector<RelayCandidate> candidates = Candidates(18);
  const auto before = AssignRelays(kPool, kPools, kSmall, candidates, Executors(20));
  const EntryId lost = before.begin()->second;
  std::erase_if(candidates, [&](const RelayCandidate& entry) { return entry.entry == lost; });
  const auto after = AssignRelays(kPool, kPools, kSmall, candidates, Executors(20));
  int moved = 0;
  for (const auto& [executor, entry] : before) {
    if (entry != lost && after.at(executor) != entry) ++moved;
  }
  EXPECT_LE(moved, 10);
}

/// Every start takes the payload and a header.
class PayloadCost : public StartCost {
 public:
  int64_t BytesOf(const JobDefinition& job, const ExecutorId&) const override {
    return static_cast<int64_t>(job.payload.size()) + 400;
  }
};

// Guards against a surge of starts that fills the owner's link: on a link of 2 Mbit/s, leases and
// commits waited behind them until they timed out (quiet-1 of the small twin of
// packstring-cf-large). The tasks have to wait in the scheduler.
TEST(StartBudgetTest, SurgeSendsNoMoreThanTheLinkCarries) {
  constexpr double kBytesPerSecond = 100'000;
  PoolScheduler scheduler({.start_bytes_per_second = kBytesPerSecond});
  TimePoint now(1s);
  for (const ExecutorId& id : Executors(20)) {
    scheduler.ListExecutor({.id = id,
                            .pool = kPool,
                            .capacity = {.cpu_millicores = 64000, .memory_mb = 64000},
                            .incarnation_unix_ms = 1},
                           now);
    scheduler.OnReport(id, {.incarnation_unix_ms = 1, .clock_ms = 1}, 0, now, now);
  }
  scheduler.OnCommitted(scheduler.TakeCommit(100));
  JobDefinition job = MakeJob("a", {MakeStep(400, 100, 1s)});
  job.payload = std::string(2400, 'x');
  scheduler.AddJob(std::make_shared<const JobDefinition>(job), nullptr, now, false);
  const PayloadCost cost;
  size_t starts = 0;
  for (int i = 0; i < 200; ++i) {
    starts += scheduler.Plan(now, &cost).starts.size();
    if (starts < 400) {
      EXPECT_GT(scheduler.wait_for_link(), Duration::zero());
    }
    const double sent = static_cast<double>(starts) * 2800;
    const double allowed = kBytesPerSecond * (0.2 + ToSeconds(now - TimePoint(1s))) + 2800;
    ASSERT_LE(sent, allowed) << i;
    now += 50ms;
  }
  EXPECT_GE(static_cast<double>(starts) * 2800, 0.9 * kBytesPerSecond * 10);
}

}  // namespace
}  // namespace citronferry::scheduling
