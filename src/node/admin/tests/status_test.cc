#include "node/admin/internal/status.h"

#include <gtest/gtest.h>

#include "supervision/timer_queue.h"

namespace citronferry::node {
namespace {

class StatusTest : public ::testing::Test {
 protected:
  StatusTest() {
    m_settings.id = EntryId("e1");
    m_settings.operator_token_file = "/run/secrets/operator";
  }
  std::string NotReadyCode() const {
    const auto reason = FindNotReadyReason(m_context);
    return reason ? std::string(reason->code) : "";
  }

  document::Settings m_settings;
  ManualTimerService m_timers;
  Metrics m_metrics;
  platform::PlatformModule m_platform{{.url = "http://127.0.0.1:1", .token = "platform-secret"}};
  NodeContext m_context{.settings = m_settings,
                        .timers = m_timers,
                        .metrics = m_metrics,
                        .platform = m_platform,
                        .incarnation = "abc"};
};

// Guards against an entry that receives requests it must refuse, and against a reason that does not
// help: each state is named.
TEST_F(StatusTest, ReadinessNamesWhatIsMissing) {
  EXPECT_EQ(NotReadyCode(), "no_configuration");
  m_context.configuration_problem = "version 3 could not be fetched";
  const auto reason = FindNotReadyReason(m_context);
  EXPECT_NE(reason->message.find("version 3"), std::string::npos);
  EXPECT_NE(reason->message.find("has not answered yet"), std::string::npos);
  m_context.configuration.Set({.version = 1, .document = std::make_shared<document::Document>()});
  EXPECT_EQ(NotReadyCode(), "no_roster");
  m_context.roster.Set({.entries = {{.id = EntryId("e1")}}});
  EXPECT_EQ(NotReadyCode(), "");
  m_context.lifecycle.Set(Lifecycle::kDraining);
  EXPECT_EQ(NotReadyCode(), "draining");
}

// Guards against secrets, token digests or file names in the status, and against renamed keys.
TEST_F(StatusTest, StatusHasTheDocumentedKeysAndNoSecrets) {
  document::Document document;
  document.pools.push_back({.name = PoolName("p"), .instances = {InstanceId("i1")}});
  document.services.push_back(
      {.name = ServiceName("s"), .pool = PoolName("p"), .max_unavailable = 2});
  document.teams.push_back({.name = TeamName("t"), .token_sha256 = "token-digest"});
  m_context.configuration.Set(
      {.version = 7, .digest = "d", .document = std::make_shared<document::Document>(document)});
  m_context.fleet.Set({.instances = {{.id = InstanceId("i1")}}});
  m_context.roster.Set({.entries = {{.id = EntryId("e1"), .configuration_version = 7},
                                    {.id = EntryId("e2"), .acknowledged_sequence = 4}}});
  const std::string status = RenderStatus(m_context).toStdString();
  EXPECT_EQ(status,
            R"({"configuration":{"digest":"d","version":7},)"
            R"("entries":[{"acknowledged_sequence":0,"alive":true,"configuration_version":7,)"
            R"("id":"e1"},{"acknowledged_sequence":4,"alive":false,"configuration_version":0,)"
            R"("id":"e2"}],"entry":"e1","incarnation":"abc","lifecycle":"serving",)"
            R"("outcomes":{"answered":0,"failed":0,"not-run":0,"unknown":0},)"
            R"("pools":[{"free_slots":0,"instances":1,"max_unavailable":2,"name":"p",)"
            R"("serving":1,"waiting":0}]})");
}

// Guards against a drain without the token, in particular when no token is configured.
TEST_F(StatusTest, DrainNeedsTheExactToken) {
  EXPECT_TRUE(IsAuthorized("Bearer secret", "secret"));
  EXPECT_FALSE(IsAuthorized("Bearer secre", "secret"));
  EXPECT_FALSE(IsAuthorized("Bearer secret2", "secret"));
  EXPECT_FALSE(IsAuthorized("secret", "secret"));
  EXPECT_FALSE(IsAuthorized("Bearer ", ""));
  EXPECT_FALSE(IsAuthorized("", ""));
}

}  // namespace
}  // namespace citronferry::node
