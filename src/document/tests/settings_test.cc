#include "document/settings.h"

#include <gtest/gtest.h>

#include "document/tests/test_documents.h"

namespace citronferry::document {
namespace {

struct InvalidSettings {
  std::string_view from;
  std::string_view to;
  int line;
  std::string_view key;
  std::string_view message;
};

const InvalidSettings kInvalidSettings[] = {
    {"127.0.0.1:7100", "localhost:7100", 5, "caller_listener", "host names"},
    {"127.0.0.1:7100", "127.0.0.1", 5, "caller_listener", "a port"},
    {"127.0.0.1:7100", "127.0.0.1:70000", 5, "caller_listener", "65535"},
    {"127.0.0.1:7100", "::1:7100", 5, "caller_listener", "brackets"},
    {"127.0.0.1:7101", "127.0.0.1:7100", 6, "admin_listener", "caller_listener too"},
    {"127.0.0.1:7100", "0.0.0.0:7102", 7, "peer_listener", "caller_listener too"},
    {"127.0.0.1:7101", "10.0.0.1:7101", 0, "operator_token_file", "not on loopback"},
    {"127.0.0.1:7102", "10.0.0.1:7102", 0, "peer_key_file", "not on loopback"},
    {"127.0.0.1:7102\"", "0.0.0.0:7102\"\npeer_key_file = \"k\"", 7, "peer_listener", "wildcard"},
    {"http://127.0.0.1:7180", "http://platform:7180", 8, "platform_url", "host names"},
    {"http://127.0.0.1:7180", "http://127.0.0.1:7180/v1", 8, "platform_url", "only"},
    {"http://127.0.0.1:7180", "ftp://127.0.0.1:7180", 8, "platform_url", "https://"},
    {"log_level = \"info\"", "log_level = \"loud\"", 9, "log_level", "\"warning\""},
    {"log_level = \"info\"", "colour = 1", 9, "colour", "allowed: admin_listener"},
    {"log_level = \"info\"", "tls_certificate_file = \"c\"", 0, "tls_key_file", "is missing"},
    {"log_level = \"info\"", "tls_key_file = \"k\"", 0, "tls_certificate_file", "is missing"},
    {"data_centre = \"dc-1\"\n", "", 0, "data_centre", "is missing"},
};

// Checks that each kind of error is reported once, with its line, its key and the allowed values.
// An entry must not start with invalid settings.
TEST(SettingsTest, InvalidSettingsAreRejectedWithLineAndKey) {
  const std::string valid = ReadRepositoryFile("examples/cariboo-entry.toml");
  for (const InvalidSettings& invalid : kInvalidSettings) {
    const SettingsResult result = ParseSettings(Replace(valid, invalid.from, invalid.to));
    ASSERT_EQ(result.problems.size(), 1u) << invalid.to;
    EXPECT_EQ(result.problems[0].line, invalid.line) << invalid.to;
    EXPECT_EQ(result.problems[0].key, invalid.key) << invalid.to;
    EXPECT_NE(result.problems[0].message.find(invalid.message), std::string::npos)
        << result.problems[0].message;
  }
}

// Checks that the settings files in the examples folder are accepted.
TEST(SettingsTest, ExamplesAreAccepted) {
  for (const char* path : {"examples/cariboo-entry.toml", "examples/ndiaye-entry.toml"}) {
    EXPECT_TRUE(ParseSettings(ReadRepositoryFile(path)).problems.empty()) << path;
  }
}

// Checks that endpoints with host names, which would need a resolver, are rejected.
TEST(SettingsTest, EndpointsAreAddresses) {
  EXPECT_TRUE(ParseEndpoint("127.0.0.1:7100").has_value());
  EXPECT_TRUE(ParseEndpoint("[::1]:7100").has_value());
  EXPECT_FALSE(ParseEndpoint("localhost:7100").has_value());
  EXPECT_FALSE(ParseEndpoint("127.0.0.1").has_value());
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:99999").has_value());
  EXPECT_FALSE(ParseEndpoint("[127.0.0.1]:7100").has_value());
}

}  // namespace
}  // namespace citronferry::document
