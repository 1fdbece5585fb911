#include "document/changes.h"

#include <gtest/gtest.h>

#include "document/rollout.h"
#include "document/tests/test_documents.h"

namespace citronferry::document {
namespace {

using Lines = std::vector<std::string>;

Lines Describe(std::string_view from, std::string_view to) {
  const ParseResult base = ParseDocument(ValidDocument());
  const ParseResult next = ParseDocument(Replace(ValidDocument(), from, to));
  EXPECT_TRUE(base.problems.empty());
  EXPECT_TRUE(next.problems.empty());
  return DescribeChanges(base.document, next.document);
}

// Checks that instances which move, join or leave a pool are listed one by one, so that an operator
// cannot approve a move without seeing it.
TEST(ChangesTest, NamesInstancesThatMoveJoinOrLeave) {
  const std::string moved = Replace(ValidDocument(), "\"t3\", \"t4\"", "\"t3\", \"t4\", \"d3\"");
  const Document base = ParseDocument(ValidDocument()).document;
  const Document next = ParseDocument(Replace(moved, "  \"d3\",\n", "  \"d4\",\n")).document;
  EXPECT_EQ(
      DescribeChanges(base, next),
      (Lines{"instance d3: moves from pool desk to pool tally", "instance d4: joins pool desk",
             "effect: wave monthly takes at least 50min (tally 5 instances, 1 at a time, "
             "50min; desk 3 instances, 1 at a time, 30min)"}));
  EXPECT_EQ(DescribeChanges(next, base)[1], "instance d4: leaves pool desk");
}

// Checks that a changed availability budget is reported with its effect on maintenance waves.
TEST(ChangesTest, ShowsTheEffectOfABudget) {
  EXPECT_EQ(Describe("max_unavailable = 2", "max_unavailable = 2\nreserve = 0"),
            (Lines{"service tally: reserve 1 -> 0 (instances)",
                   "effect: waves may take out 2 instead of 1 instances of pool tally at a time",
                   "effect: wave monthly takes at least 30min (tally 4 instances, 2 at a time, "
                   "20min; desk 3 instances, 1 at a time, 30min)"}));
}

// Checks that changes in all sections are reported, and that a replaced token is reported without
// its digest, which must not appear in operators' terminals.
TEST(ChangesTest, DescribesEverySection) {
  EXPECT_EQ(Describe("deadline = \"6h\"", "deadline = \"7h\""),
            Lines{"queue tally: deadline \"6h\" -> \"7h\""});
  EXPECT_EQ(Describe("weight = 2.0", "max_in_flight = 8"),
            (Lines{"team north: weight 2 -> 1 (relative to other teams)",
                   "team north: max_in_flight 1000 -> 8 (requests)"}));
  EXPECT_EQ(Describe("\"2222", "\"2223"),
            Lines{"team river: token_sha256 replaced; the old token is refused"});
  EXPECT_EQ(Describe("name = \"river\"", "name = \"lake\""),
            (Lines{"team river: removed", "team lake: added"}));
  EXPECT_EQ(Describe("spare = true\n", ""), Lines{"pool desk: spare true -> false"});
  EXPECT_EQ(Describe("promote_to = \"production\"\n", ""),
            Lines{"promote_to: \"production\" -> \"\""});
  EXPECT_TRUE(Describe("[[wave]]", "# comment\n[[wave]]").empty());
}

// Checks that the estimate includes the waits between daily windows: 3 steps of 10 minutes in
// windows of 20 minutes end on the second day.
TEST(ChangesTest, RolloutWaitsForTheNextWindow) {
  EXPECT_EQ(Describe("\"04:00\"", "\"02:20\""),
            (Lines{"wave monthly: end \"04:00\" -> \"02:20\"",
                   "effect: wave monthly takes at least 1d 20min (tally 4 instances, 1 at a time, "
                   "40min of work over 1d 20min; desk 3 instances, 1 at a time, 30min of work over "
                   "1d 10min)"}));
}

}  // namespace
}  // namespace citronferry::document
