#include "node/membership/internal/roster_row.h"

#include <gtest/gtest.h>

namespace citronferry::node {
namespace {

// The planner and the other entries read this row, so its keys must not be renamed or lost.
TEST(RosterRowTest, HasTheDocumentedKeys) {
  const RosterEntry entry{.id = EntryId("e1"),
                          .incarnation = "abc",
                          .peer_address = "127.0.0.1:7300",
                          .data_centre = DataCentreName("dc1"),
                          .acknowledged_sequence = 12,
                          .configuration_version = 3,
                          .in_flight = {{InstanceId("i1"), 2}},
                          .peer_public_key = "key"};
  const std::string value = EncodeRosterRow(entry);
  EXPECT_EQ(value, R"({"acknowledged_sequence":12,"configuration_version":3,"data_centre":"dc1",)"
                   R"("in_flight":{"i1":2},"incarnation":"abc","peer_address":"127.0.0.1:7300",)"
                   R"("peer_public_key":"key"})");
  EXPECT_EQ(EncodeRosterRow(DecodeRosterRow("e1", value)), value);
}

// A damaged row must neither crash the process nor yield a negative sequence.
TEST(RosterRowTest, DamagedRowKeepsDefaults) {
  const RosterEntry entry = DecodeRosterRow("e1", R"({"acknowledged_sequence":-4,"in_flight":7})");
  EXPECT_EQ(entry.id, EntryId("e1"));
  EXPECT_EQ(entry.acknowledged_sequence, 0u);
  EXPECT_TRUE(entry.in_flight.empty());
  EXPECT_TRUE(DecodeRosterRow("e1", "nonsense").peer_address.empty());
}

}  // namespace
}  // namespace citronferry::node
