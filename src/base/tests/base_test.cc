#include <gtest/gtest.h>

#include <array>
#include <string>

#include "base/ids.h"
#include "base/rendezvous.h"
#include "base/ret.h"

namespace citronferry {
namespace {

// Guards against shares that move between remaining entries when another entry is removed.
TEST(RendezvousTest, RemovingANodeKeepsTheOrderOfTheOthers) {
  const std::array<std::string_view, 4> all{"e1", "e2", "e3", "e4"};
  const std::array<std::string_view, 3> fewer{"e1", "e2", "e4"};
  for (int i = 0; i < 100; ++i) {
    const std::string item = "executor-" + std::to_string(i);
    std::vector<std::string_view> expected;
    for (size_t index : RankNodes(all, item)) {
      if (all[index] != "e3") expected.push_back(all[index]);
    }
    std::vector<std::string_view> actual;
    for (size_t index : RankNodes(fewer, item)) actual.push_back(fewer[index]);
    EXPECT_EQ(actual, expected);
  }
}

// Guards against a hash that assigns most of the slots to one entry.
TEST(RendezvousTest, FirstRankIsSpreadOverTheNodes) {
  const std::array<std::string_view, 7> nodes{"e1", "e2", "e3", "e4", "e5", "e6", "e7"};
  std::array<int, 7> first{};
  for (int i = 0; i < 7000; ++i) ++first[RankNodes(nodes, "x" + std::to_string(i)).front()];
  for (int count : first) EXPECT_NEAR(count, 1000, 150);
}

// Guards against an error that is taken for a success.
TEST(RetTest, ErrorKeepsItsCodeAndMessage) {
  const RetVal<int> value = Ret(ErrorCode::kConflict, "row changed");
  EXPECT_FALSE(value.ok());
  EXPECT_EQ(value.code(), ErrorCode::kConflict);
  EXPECT_EQ(value.ret().message(), "row changed");
  EXPECT_EQ(ErrorCodeName(value.code()), "conflict");
}

}  // namespace
}  // namespace citronferry
