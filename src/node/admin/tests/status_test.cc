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
  provider::ProviderModule m_platform{{.url = "http://127.0.0.1:1", .token = "platform-secret"}};
  NodeContext m_context{.settings = m_settings,
                        .timers = m_timers,
                        .metrics = m_metrics,
                        .platform = m_platform,
                        .incarnation = "abc"};
};

// An entry that must refuse requests must not report itself as ready, or the load balancer sends it
// requests. The reason must name what is missing and the problem behind it.
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

// The keys of the status are documented for tools and must not change. Secrets, token digests and
// file names of the settings and the configuration must not appear in it.
TEST_F(StatusTest, StatusHasTheDocumentedKeysAndNoSecrets) {
  document::Document document;
  document.pools.push_back({.name = PoolName("p"), .instances = {InstanceId("i1")}});
  document.services.push_back(
      {.name = ServiceName("s"), .pool = PoolName("p"), .max_unavailable = 2});
  document.teams.push_back({.name = TeamName("t"), .token_sha256 = "token-digest"});
  m_context.configuration.Set(
      {.version = 7, .digest = "d", .document = std::make_shared<document::Document>(document)});
  FleetView fleet;
  fleet.instances = {{.id = InstanceId("i1")}, {.id = InstanceId("i2")}};
  fleet.ownership[InstanceId("i1")] = {.pool = PoolName("p"), .serving = true};
  fleet.ownership[InstanceId("i2")] = {.pool = PoolName("p"), .serving = false};
  m_context.fleet.Set(std::move(fleet));
  m_context.planner.Set({.holder = "e2",
                         .epoch = 3,
                         .pools = {{.pool = PoolName("p"),
                                    .wave = "kernel",
                                    .instances = 2,
                                    .remaining = 1,
                                    .planned = 1,
                                    .allowed = 1,
                                    .estimate = 90s}},
                         .moving = {{InstanceId("i2"), PoolName("q")}}});
  m_context.roster.Set({.entries = {{.id = EntryId("e1"), .configuration_version = 7},
                                    {.id = EntryId("e2"), .acknowledged_sequence = 4}}});
  const std::string status = RenderStatus(m_context).toStdString();
  EXPECT_EQ(status,
            R"({"configuration":{"digest":"d","version":7},)"
            R"("entries":[{"acknowledged_sequence":0,"alive":true,"configuration_version":7,)"
            R"("id":"e1"},{"acknowledged_sequence":4,"alive":false,"configuration_version":0,)"
            R"("id":"e2"}],"entry":"e1","incarnation":"abc","lifecycle":"serving",)"
            R"("outcomes":{"answered":0,"failed":0,"not-run":0,"unknown":0},)"
            R"("planner":{"acting":false,"epoch":3,"holder":"e2","moving":{"i2":"q"}},)"
            R"("pools":[{"free_slots":0,"instances":2,"max_unavailable":2,"name":"p",)"
            R"("out":["i2"],"serving":1,"waiting":0}],)"
            R"("waves":[{"allowed_out":1,"done":1,"failed":[],"name":"kernel","planned_out":1,)"
            R"("pool":"p","seconds_left":90,"total":2,"unplanned_out":0}]})");
}

// A drain must be refused without the exact operator token, in particular when none is configured.
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
