#include "fleet/change_feed.h"

#include "fleet/tables.h"
#include "fleet/tests/fleet_fixture.h"

namespace citronferry::fleet {
namespace {

class ChangeFeedTest : public FleetTest {
 protected:
  void Put(std::string_view key) {
    m_rows.Apply({.puts = {{.key = {"table", "part", std::string(key)}, .value = "v"}}});
  }
  std::vector<std::string> Keys(const RetVal<RowChanges>& changes) {
    std::vector<std::string> keys;
    if (!changes.ok()) return keys;
    for (const Row& row : changes->changed) keys.push_back(row.key.key);
    return keys;
  }

  ChangeFeed<RowChanges> m_feed = MakeTableFeed(m_rows, "table", {"part"}, Duration::zero());
};

// Rows written before the feed started must be returned, and only once: the first read is a
// snapshot, later ones return changes until a restart.
TEST_F(ChangeFeedTest, ReadsEverythingOnceThenFollows) {
  Put("a");
  EXPECT_EQ(Keys(Await(m_feed.Next())), std::vector<std::string>{"a"});
  EXPECT_TRUE(m_feed.is_snapshot());
  Put("b");
  EXPECT_EQ(Keys(Await(m_feed.Next())), std::vector<std::string>{"b"});
  EXPECT_FALSE(m_feed.is_snapshot());
  m_feed.Restart();
  EXPECT_EQ(Keys(Await(m_feed.Next())), (std::vector<std::string>{"a", "b"}));
}

// When the store has dropped the history after the feed's version, following fails forever. The
// feed must read a new snapshot, or the changes in between are lost.
TEST_F(ChangeFeedTest, ReadsEverythingAgainWhenTheHistoryIsLost) {
  Put("a");
  ASSERT_TRUE(Await(m_feed.Next()).ok());
  Put("b");
  m_rows.history_lost = true;
  EXPECT_EQ(Await(m_feed.Next()).code(), ErrorCode::kNotFound);
  m_rows.history_lost = false;
  EXPECT_EQ(Keys(Await(m_feed.Next())), (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(m_feed.is_snapshot());
}

// After an outage of the store the feed must continue from its version, so that changes made during
// the outage are returned.
TEST_F(ChangeFeedTest, ContinuesFromItsVersionAfterAnOutage) {
  Put("a");
  ASSERT_TRUE(Await(m_feed.Next()).ok());
  m_rows.unavailable = true;
  EXPECT_FALSE(Await(m_feed.Next()).ok());
  m_rows.unavailable = false;
  Put("b");
  EXPECT_EQ(Keys(Await(m_feed.Next())), std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace citronferry::fleet
