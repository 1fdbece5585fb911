#include <gtest/gtest.h>

#include "platform/internal/announcements.h"
#include "platform/internal/client_protocol.h"
#include "platform/internal/executors.h"
#include "platform/internal/task_name.h"
#include "platform/settings.h"

namespace citronferry::platform {
namespace {

constexpr std::string_view kSettings = R"(
nodeName = "front-a-1"
ip = "10.1.0.9"
zone = "a"
heartbeatMs = 1500
portRange = [7060, 7075]
unknown = "fields may come"
[listen]
front = "10.1.0.9:8624"
readiness = "10.1.0.9:8622"
[limits]
cpuShare = 0.25
cores = 1
linkMbps = 2.0
[bounds]
maxHoldMs = 10000
graceS = 6
status_s = 120
leaseTtlMs = 3000
stopGraceMs = 900
[platform]
address = "10.200.1.7:8621"
)";

// Missing and invalid settings must fail the start, with one message that names all of them.
TEST(PlatformSettingsTest, ErrorsAreReportedTogether) {
  ASSERT_TRUE(ParseNodeSettings(kSettings).ok());
  EXPECT_EQ(ParseNodeSettings(kSettings)->cores, 0.25);
  std::string broken(kSettings);
  broken.replace(broken.find("10.200.1.7:8621"), 15, "store.example:1");
  broken.replace(broken.find("graceS = 6"), 10, "graceS = 0");
  const auto settings = ParseNodeSettings(broken);
  ASSERT_FALSE(settings.ok());
  EXPECT_NE(settings.ret().message().find("platform.address"), std::string_view::npos);
  EXPECT_NE(settings.ret().message().find("bounds.graceS"), std::string_view::npos);
  EXPECT_FALSE(ParseNodeSettings("nodeName = ").ok());
}

// Guards against limits of the process that are taken for others or for none: they are optional,
// but must not be malformed.
TEST(PlatformSettingsTest, LimitsAndBoundsAreOptional) {
  const auto absent = ParseNodeSettings(kSettings);
  ASSERT_TRUE(absent.ok());
  EXPECT_EQ(absent->memory_mb, 0);
  EXPECT_FALSE(absent->strict_revocation);
  EXPECT_EQ(absent->cancellation_bound, 0s);
  std::string text(kSettings);
  text.replace(text.find("cores = 1"), 9, "cores = 1\nmemoryMb = 160\nmaxFds = 4100");
  text.replace(text.find("graceS = 6"), 10,
               "graceS = 6\nstrictRevoke = true\nrevokeMs = 5000\nconfigApplyMs = 3000\n"
               "cancel_ms = 4000");
  const auto present = ParseNodeSettings(text);
  ASSERT_TRUE(present.ok()) << present.ret().message();
  EXPECT_EQ(present->memory_mb, 160);
  EXPECT_EQ(present->max_descriptors, 4100);
  EXPECT_TRUE(present->strict_revocation);
  EXPECT_EQ(present->revocation_bound, 5s);
  EXPECT_EQ(present->configuration_bound, 3s);
  EXPECT_EQ(present->cancellation_bound, 4s);
  text.replace(text.find("strictRevoke = true"), 19, "strictRevoke = 1   ");
  EXPECT_FALSE(ParseNodeSettings(text).ok());
}

// Guards against keys, quotas or public queues that are lost while a configuration is decoded.
TEST(PlatformConfigurationTest, TeamsAndPublicQueuesAreDecoded) {
  const auto configuration = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","backend":"p",)"
      R"("public":true},{"name":"r2","host":"h","pathPrefix":"/b/","backend":"p"}],)"
      R"("tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"weight":163,)"
      R"("maxCount":{"cpu":18206281,"memMb":29307068,"gpus":0}},{"name":"t2"}]})");
  ASSERT_TRUE(configuration.ok()) << configuration.ret().message();
  EXPECT_TRUE(configuration->queues[0].is_public);
  EXPECT_FALSE(configuration->queues[1].is_public);
  ASSERT_EQ(configuration->teams.size(), 2u);
  const fleet::Team& team = configuration->teams[0];
  EXPECT_EQ(team.name, TeamName("t1"));
  EXPECT_EQ(team.api_keys, (std::vector<std::string>{"k1", "k2"}));
  EXPECT_EQ(team.weight, 163);
  EXPECT_EQ(team.quota.cpu_millicores, 18206281);
  EXPECT_EQ(team.quota.memory_mb, 29307068);
  EXPECT_EQ(configuration->teams[1].weight, 1);
  EXPECT_EQ(configuration->teams[1].quota, scheduling::Resources{});
}

TEST(PlatformTaskNameTest, NamesRoundTrip) {
  const scheduling::TaskId task{
      .job = JobId("5c0e7a21d94b36f8"), .occurrence = 0, .step = 1, .index = 17};
  EXPECT_EQ(FormatTask(task), "5c0e7a21d94b36f8.0.1.17");
  EXPECT_EQ(ParseTask("5c0e7a21d94b36f8.0.1.17"), task);
  for (const char* bad : {"", "a", "a.1", "a.1.2", "a.1.2.", "a.1.2.-3", "a.1.2.3.4", ".1.2.3"}) {
    EXPECT_FALSE(ParseTask(bad)) << bad;
  }
}

// Guards against a malformed registry row that is taken for an executor and gets tasks.
TEST(PlatformRegistryTest, MalformedRowsAreRejected) {
  const std::string good =
      R"({"backend":"p","address":"10.0.0.1:80","zone":"a","state":"ready","labels":["a","r1-3"],)"
      R"("capacity":{"cpu":16000,"memMb":32768},"born":12})";
  const auto executor = DecodeExecutor("i-1", good);
  ASSERT_TRUE(executor.ok());
  EXPECT_EQ(executor->rack, RackName("r1-3"));
  EXPECT_EQ(executor->capacity.cpu_millicores, 16000);
  EXPECT_FALSE(executor->leaving);
  const std::string draining = std::string(good).replace(good.find("ready"), 5, "draining");
  EXPECT_TRUE(DecodeExecutor("i-1", draining)->leaving);
  for (const char* bad :
       {"", "{}", "[1]", R"({"backend":1,"address":"x","state":"ready","capacity":{}})",
        R"({"backend":"p","address":"x","state":"odd","capacity":{}})",
        R"({"backend":"p","address":"x","state":"ready","capacity":7})"}) {
    EXPECT_FALSE(DecodeExecutor("i-1", bad).ok()) << bad;
  }
}

// A malformed row must not make the whole report undecodable. A report without the executor's clock
// must be rejected.
TEST(PlatformExecutorTest, MalformedRowsAreSkipped) {
  const auto report = DecodeReport(
      R"({"clockMs":482113,"born":5,"active":[["5c0e7a21d94b36f8.0.1.17",2,"saved",41,12.5]],)"
      R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"x",1,"done",""]]})");
  ASSERT_TRUE(report.ok());
  EXPECT_EQ(report->clock_ms, 482113);
  ASSERT_EQ(report->active.size(), 1u);
  EXPECT_EQ(report->active[0].percent, 41);
  EXPECT_EQ(report->active[0].checkpoint, "saved");
  ASSERT_EQ(report->ended.size(), 1u);
  EXPECT_EQ(report->ended[0].number, 58);
  EXPECT_FALSE(DecodeReport("{}").ok());
}

// Guards against second runs of tasks after the loss of an owner (TWICE, review/6): a report with
// as many ends as executors list at most, of which some cannot be read, was taken for complete.
TEST(PlatformExecutorTest, ReportWithTheMostEndsIsIncomplete) {
  const auto report_with = [](int ends) {
    std::string text = R"({"clockMs":482113,"finished":[[1,"x",1,"done",""])";
    for (int i = 2; i <= ends; ++i) {
      text += ",[" + std::to_string(i) + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    }
    return DecodeReport(text + "]}");
  };
  EXPECT_TRUE(report_with(500)->incomplete);
  EXPECT_EQ(report_with(500)->ended.size(), 499u);
  EXPECT_FALSE(report_with(499)->incomplete);
}

class ClientProtocolTest : public ::testing::Test {
 protected:
  ClientProtocolTest() {
    const auto configuration = DecodeConfiguration(
        R"({"version":7,"routes":[)"
        R"({"name":"r1","host":"h.example","pathPrefix":"/a/","backend":"p","maxAttempts":3,)"
        R"("latencyMultiplier":1.6,"targetLatencyMs":600,"priority":1},)"
        R"({"name":"r2","host":"h.example","pathPrefix":"/a/b/","backend":"q"}],)"
        R"("services":[{"name":"p","rejectsOverload":true},{"name":"q","standby":true}],)"
        R"("limits":{"maxBodyBytes":1000}})");
    EXPECT_TRUE(configuration.ok()) << configuration.ret().message();
    m_configuration = configuration.value();
  }

  std::variant<fleet::CallHead, fleet::CallError> Head(const std::string& path,
                                                       http::Headers headers = {}) {
    http::Request request{.method = "GET", .path = path, .headers = std::move(headers)};
    request.headers.push_back({"Host", "h.example:80"});
    request.headers.push_back({"X-Request-Deadline", "2000"});
    return m_protocol.DecodeHead(request, m_configuration);
  }

  std::variant<fleet::CallAction, fleet::CallError> Call(std::string method, std::string path,
                                                         std::string body = {}) {
    const auto head = Head(path);
    if (const auto* error = std::get_if<fleet::CallError>(&head)) return *error;
    http::Request request{.method = std::move(method), .path = std::move(path)};
    request.body = QByteArray::fromStdString(body);
    return m_protocol.Decode(request, std::get<fleet::CallHead>(head));
  }

  // Returns the status of the refusal of a call with these headers, or 0 if it is not refused.
  int RefusalOf(const std::string& path, http::Headers headers) {
    const auto head = Head(path, std::move(headers));
    const auto* error = std::get_if<fleet::CallError>(&head);
    return error ? m_protocol.EncodeError(*error).status : 0;
  }

  fleet::Configuration m_configuration;
  HttpClientProtocol m_protocol;
};

constexpr const char* kId = "5c0e7a21d94b36f8";

TEST_F(ClientProtocolTest, LongestPrefixSelectsTheQueue) {
  const auto head = Head(std::string("/a/b/") + kId);
  ASSERT_TRUE(std::holds_alternative<fleet::CallHead>(head));
  EXPECT_EQ(std::get<fleet::CallHead>(head).queue->policy.name, QueueName("r2"));
  EXPECT_EQ(std::get<fleet::CallHead>(head).deadline, Duration(2s));
  const auto none = Call("GET", "/c/");
  ASSERT_TRUE(std::holds_alternative<fleet::CallError>(none));
  EXPECT_EQ(m_protocol.EncodeError(std::get<fleet::CallError>(none)).status, 404);
}

TEST_F(ClientProtocolTest, JobIsDecodedWithItsDefaults) {
  const auto call = Call("POST", std::string("/a/") + kId,
                         R"({"spec":"s","steps":[{"replicas":4,"cpu":500,"memMb":256,)"
                         R"("estimateMs":900,"affinity":"r1-3","fillCount":true},)"
                         R"({"replicas":2,"after":[0],"maxUnavailable":1,"daemon":true}]})");
  ASSERT_TRUE(std::holds_alternative<fleet::CallAction>(call));
  const auto& submit = std::get<fleet::SubmitJob>(std::get<fleet::CallAction>(call)).definition;
  ASSERT_EQ(submit.steps.size(), 2u);
  EXPECT_TRUE(submit.steps[0].uses_leftover_cpu);
  EXPECT_EQ(submit.steps[0].estimated_duration, Duration(900ms));
  EXPECT_TRUE(submit.steps[1].long_running);
  EXPECT_EQ(submit.steps[1].after, std::vector<int>{0});
}

// Guards against accepting a job that can never run, such as one without steps or with a step that
// follows itself, or a body with a value of the wrong type.
TEST_F(ClientProtocolTest, InvalidJobsAreRejected) {
  for (const char* body :
       {"", "{}", R"({"steps":[]})", R"({"steps":[{"replicas":0}]})",
        R"({"steps":[{"replicas":1,"after":[0]}]})", R"({"steps":[{"replicas":1,"cpu":-1}]})",
        R"({"steps":[{"replicas":"1"}]})",
        R"({"steps":[{"replicas":1,"after":[1]},{"replicas":1}]})"}) {
    const auto call = Call("POST", std::string("/a/") + kId, body);
    ASSERT_TRUE(std::holds_alternative<fleet::CallError>(call)) << body;
    EXPECT_EQ(m_protocol.EncodeError(std::get<fleet::CallError>(call)).status, 400);
  }
  EXPECT_TRUE(std::holds_alternative<fleet::CallError>(Call("POST", "/a/short", "{}")));
}

// Guards against a call that is served without a key, or refused where no key is needed, and
// against a malformed header that is taken for an unknown key.
TEST_F(ClientProtocolTest, KeysAreRequiredUnlessTheQueueIsPublic) {
  const std::string path = std::string("/a/") + kId;
  EXPECT_EQ(RefusalOf(path, {}), 0);  // No team, no keys.
  m_configuration.teams.push_back({.name = TeamName("t"), .api_keys = {"key-1"}});
  EXPECT_EQ(RefusalOf(path, {}), 401);
  EXPECT_EQ(RefusalOf(path, {{"Authorization", "Bearer key-1"}}), 401);
  EXPECT_EQ(RefusalOf(path, {{"authorization", "Token key-1"}}), 0);
  for (const char* malformed : {"Token ", "Token a b", "Token k\x01", "Token k\xc3\xa9"}) {
    EXPECT_EQ(RefusalOf(path, {{"Authorization", malformed}}), 400) << malformed;
  }
  EXPECT_EQ(RefusalOf(path, {{"Authorization", "Token " + std::string(300, 'k')}}), 400);
  EXPECT_EQ(RefusalOf(path, {{"Authorization", "Token a"}, {"Authorization", "Token a"}}), 400);
  EXPECT_EQ(RefusalOf("/c/", {}), 404);
  m_configuration.queues[0].is_public = true;
  EXPECT_EQ(RefusalOf(path, {}), 0);
}

// Guards against a 503 response without Retry-After, which clients would retry at once.
TEST_F(ClientProtocolTest, RefusalCarriesRetryAfter) {
  const http::Response response = m_protocol.Encode(fleet::CallOutcome::kNotAccepted, 1500ms);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(http::FindHeader(response.headers, "Retry-After"), "2");
  EXPECT_EQ(m_protocol.Encode(fleet::CallOutcome::kUnknownOutcome, {}).status, 504);
}

}  // namespace
}  // namespace citronferry::platform
