#include "decisions/membership/slot_share.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "decisions/membership/roster_history.h"

namespace citronferry::membership {
namespace {

// Fails if the shares add up to more or fewer than the slots of an executor.
TEST(SlotShareTest, SharesAddUpToTheSlots) {
  for (int entries = 1; entries <= 20; ++entries) {
    std::vector<EntryId> roster;
    for (int i = 0; i < entries; ++i) roster.emplace_back("entry-" + std::to_string(i));
    int total = 0;
    for (const EntryId& entry : roster) total += SlotShare(entry, roster, InstanceId("i1"), 8);
    EXPECT_EQ(total, 8) << entries;
  }
}

// Fails if an entry uses executors although it is not in the roster.
TEST(SlotShareTest, EntryOutsideTheRosterHasNoShare) {
  const std::vector<EntryId> roster{EntryId("a"), EntryId("b")};
  EXPECT_EQ(SlotShare(EntryId("c"), roster, InstanceId("i1"), 8), 0);
}

// Fails if more slots are in use than an executor has, while some entries have read a change of the
// roster and others read it up to 2.9 s later.
TEST(SlotShareTest, SharesNeverExceedTheSlotsWhileViewsDiffer) {
  const std::vector<EntryId> all{EntryId("a"), EntryId("b"), EntryId("c"), EntryId("d")};
  const std::vector<EntryId> fewer{EntryId("a"), EntryId("b"), EntryId("d")};
  std::map<EntryId, RosterHistory> histories;
  std::map<EntryId, int> shares;
  const TimePoint start{100s};
  for (int step = 0; step < 300; ++step) {
    const TimePoint now = start + step * 100ms;
    int total = 0;
    for (size_t i = 0; i < all.size(); ++i) {
      // Entry c leaves after 5 s and returns after 15 s; each entry sees this with its own lag.
      const auto seen = now - i * 900ms;
      const bool away = seen >= start + 5s && seen < start + 15s;
      RosterHistory& history = histories[all[i]];
      history.Observe(away ? fewer : all, all[i], now);
      shares[all[i]] = SmallestSlotShare(all[i], history.ActiveRosters(now), InstanceId("i1"), 8);
      total += shares[all[i]];
    }
    EXPECT_LE(total, 8) << step;
  }
  // All slots are in use again at the end.
  EXPECT_EQ(shares[all[0]] + shares[all[1]] + shares[all[2]] + shares[all[3]], 8);
}

// Fails if the first entry waits for other entries although there are none.
TEST(SlotShareTest, FirstEntryUsesEverythingAtOnce) {
  const EntryId self("a");
  RosterHistory history;
  EXPECT_TRUE(history.ActiveRosters(TimePoint(1s)).empty());
  history.Observe({self}, self, TimePoint(1s));
  EXPECT_EQ(SmallestSlotShare(self, history.ActiveRosters(TimePoint(1s)), InstanceId("i1"), 8), 8);
}

// Fails if the heartbeat traffic of an entry grows with the fleet, or its choice of peers changes.
TEST(SlotShareTest, HeartbeatsGoToAtMostSixteenPeers) {
  std::vector<EntryId> roster;
  for (int i = 0; i < 40; ++i) roster.emplace_back("entry-" + std::to_string(i));
  const auto chosen = ChooseHeartbeatPeers(roster[3], roster);
  EXPECT_EQ(chosen.size(), kMaxHeartbeatPeers);
  EXPECT_EQ(std::set<EntryId>(chosen.begin(), chosen.end()).count(roster[3]), 0u);
  EXPECT_EQ(ChooseHeartbeatPeers(roster[3], roster), chosen);
  roster.resize(10);
  EXPECT_EQ(ChooseHeartbeatPeers(roster[3], roster).size(), 9u);
}

}  // namespace
}  // namespace citronferry::membership
