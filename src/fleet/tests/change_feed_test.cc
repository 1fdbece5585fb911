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

// Guards against a follower that misses what was there before it, or reads it again and again.
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

// Guards against changes that are lost with the store's history: the feed would wait for ever.
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

// Guards against a store that was away for a while: what changed meanwhile is still followed.
TEST_F(ChangeFeedTest, GoesOnWhereItWasAfterAnOutage) {
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
