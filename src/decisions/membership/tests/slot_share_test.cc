#include "decisions/membership/slot_share.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace citronferry::membership {
namespace {

// Guards against shares that add up to more or fewer than the slots of an executor.
TEST(SlotShareTest, SharesAddUpToTheSlots) {
  for (int entries = 1; entries <= 20; ++entries) {
    std::vector<EntryId> roster;
    for (int i = 0; i < entries; ++i) roster.emplace_back("entry-" + std::to_string(i));
    int total = 0;
    for (const EntryId& entry : roster) total += SlotShare(entry, roster, InstanceId("i1"), 8);
    EXPECT_EQ(total, 8) << entries;
  }
}

// Guards against an entry that uses executors although it has left the roster.
TEST(SlotShareTest, EntryOutsideTheRosterHasNoShare) {
  const std::vector<EntryId> roster{EntryId("a"), EntryId("b")};
  EXPECT_EQ(SlotShare(EntryId("c"), roster, InstanceId("i1"), 8), 0);
}

}  // namespace
}  // namespace citronferry::membership
