#include "document/document.h"

#include <gtest/gtest.h>

#include "document/settings.h"

namespace citronferry::document {
namespace {

// Guards against a fault that hides the faults after it, and against a wrong line.
TEST(DocumentTest, ReportsEveryFaultWithItsLine) {
  const ParseResult result = ParseDocument(
      "environment = \"trial\"\n"
      "[[queue]]\n"
      "name = \"tally\"\n"
      "service = \"billing\"\n"
      "deadline = \"30\"\n"
      "colour = \"red\"\n");
  ASSERT_EQ(result.problems.size(), 2u);
  EXPECT_EQ(result.problems[0].line, 5);
  EXPECT_EQ(result.problems[0].key, "queue[0].deadline");
  EXPECT_EQ(result.problems[1].line, 6);
}

// Guards against a name where only an address is allowed.
TEST(SettingsTest, EndpointsAreAddresses) {
  EXPECT_TRUE(ParseEndpoint("127.0.0.1:7100").has_value());
  EXPECT_TRUE(ParseEndpoint("[::1]:7100").has_value());
  EXPECT_FALSE(ParseEndpoint("localhost:7100").has_value());
  EXPECT_FALSE(ParseEndpoint("127.0.0.1").has_value());
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:99999").has_value());
}

}  // namespace
}  // namespace citronferry::document
