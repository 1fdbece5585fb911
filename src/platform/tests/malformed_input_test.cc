// Input from other writers: rows of the store, reports of executors and calls of clients that are
// malformed or hold values out of range. Guards against processes that end, or that use such
// values.
#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "document/settings.h"
#include "fleet/tables.h"
#include "json/reader.h"
#include "platform/internal/announcements.h"
#include "platform/internal/client_protocol.h"
#include "platform/internal/executors.h"

namespace citronferry::platform {
namespace {

constexpr std::string_view kExecutor =
    R"({"backend":"p","address":"10.0.0.1:80","zone":"a","state":"ready","labels":["a","r1-3"],)"
    R"("capacity":{"cpu":16000,"memMb":32768,"gpus":1},"born":1700000000000,"seqNo":4})";

std::string Replace(std::string_view text, std::string_view from, std::string_view to) {
  std::string result(text);
  const size_t at = result.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return result.replace(at, from.size(), to);
}

std::string Nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::string NestedObjects(size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) text += R"({"capacity":)";
  return text + "1" + std::string(depth, '}');
}

// Guards against an odd registry entry that is taken for an executor. Numbers above 2^63 - 1 were
// wrapped to negative capacities, and addresses were not checked.
TEST(MalformedInputTest, OddRegistryEntriesNameNoExecutor) {
  ASSERT_TRUE(DecodeExecutor("i-1", kExecutor).ok());
  for (const std::string_view address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1", "host:80",
        "host.example:80", ":80", "", "10.0.0.1:80/x", "10.0.0.1:1e3"}) {
    EXPECT_FALSE(DecodeExecutor("i-1", Replace(kExecutor, "10.0.0.1:80", address)).ok()) << address;
  }
  for (const std::string_view number :
       {"1e308", "1e999", "-1", "9223372036854775807", "9223372036854775808",
        "18446744073709551615", "18446744073709551616", "0.5", "NaN", "\"16000\"",
        "null,\"x\":", "[16000]", "{}"}) {
    EXPECT_FALSE(DecodeExecutor("i-1", Replace(kExecutor, "16000", number)).ok()) << number;
    EXPECT_FALSE(DecodeExecutor("i-1", Replace(kExecutor, "1700000000000", number)).ok()) << number;
  }
  for (const size_t depth : {33, 1000, 10000}) {
    EXPECT_FALSE(DecodeExecutor("i-1", Nested(depth)).ok());
    EXPECT_FALSE(DecodeExecutor("i-1", NestedObjects(depth)).ok());
    EXPECT_FALSE(DecodeExecutor("i-1", Replace(kExecutor, "\"r1-3\"", Nested(depth))).ok());
  }
  EXPECT_FALSE(DecodeExecutor("", kExecutor).ok());
  EXPECT_FALSE(DecodeExecutor("i-1", Replace(kExecutor, "\"p\"", "\"\"")).ok());
  EXPECT_FALSE(DecodeExecutor("i-1", std::string(16 << 20, 'x')).ok());
  EXPECT_FALSE(DecodeExecutor("i-1", Replace(kExecutor, "\"p\"", "\"\xff\xfe\"")).ok());
}

// Guards against an executor whose clock, near the largest number, overflows the end of a lease.
TEST(MalformedInputTest, ReportsWithImpossibleTimesAreRejected) {
  EXPECT_FALSE(DecodeReport(R"({"clockMs":9223372036854775807})").ok());
  EXPECT_FALSE(DecodeReport(R"({"clockMs":-1})").ok());
  EXPECT_FALSE(DecodeReport(R"({"clockMs":5,"born":1e300})").ok());
  const auto report = DecodeReport(
      R"({"clockMs":5,"active":[["a.0.1.2",1,"",1e308,1e308],["a.0.1.99999999999",1]]})");
  ASSERT_TRUE(report.ok());
  ASSERT_EQ(report->active.size(), 1u);
  EXPECT_EQ(report->active[0].percent, 100);
}

// Guards against jobs whose size exhausts the memory of every owner of their pool in turn.
TEST(MalformedInputTest, JobsOfImpossibleSizeAreRejected) {
  for (const std::string_view text :
       {R"({"steps":[{"n":0}]})", R"({"steps":[{"n":-1}]})", R"({"steps":[]})", "{}",
        R"({"steps":[{"n":2000000000}]})", R"({"steps":[{"n":6000},{"n":6000}]})",
        R"({"steps":[{"n":1,"after":[0]}]})", R"({"steps":[{"n":1,"after":[-1]}]})",
        R"({"steps":[{"n":1}],"times":2000000000})", R"({"steps":[{"n":1,"est":1e300}]})",
        R"({"steps":[{"n":1}],"interval":1e300,"times":2})"}) {
    EXPECT_FALSE(fleet::DecodeJob(JobId("a"), text).ok()) << text;
  }
}

/// Decodes a message and checks that a valid result holds no value out of range.
using Decoder = std::function<void(std::string_view)>;

struct FuzzedDecoder {
  std::string name;
  std::vector<std::string> corpus;
  Decoder decode;
};

bool InRange(int64_t number, json::IntegerRange range) {
  return number >= range.min && number <= range.max;
}

void CheckExecutor(std::string_view text) {
  const auto executor = DecodeExecutor("i-1", text);
  if (!executor.ok()) return;
  EXPECT_TRUE(document::ParseEndpoint(executor->address)) << text;
  EXPECT_TRUE(InRange(executor->capacity.cpu_millicores, json::kCountRange)) << text;
  EXPECT_TRUE(InRange(executor->capacity.memory_mb, json::kCountRange)) << text;
  EXPECT_TRUE(InRange(executor->incarnation_unix_ms, json::kClockRange)) << text;
}

void CheckReport(std::string_view text) {
  const auto report = DecodeReport(text);
  if (!report.ok()) return;
  EXPECT_TRUE(InRange(report->clock_ms, json::kClockRange)) << text;
  for (const auto& active : report->active) {
    EXPECT_TRUE(active.percent >= 0 && active.percent <= 100) << text;
    EXPECT_TRUE(active.task.index >= 0) << text;
  }
}

void CheckConfiguration(std::string_view text) {
  const auto configuration = DecodeConfiguration(text);
  if (!configuration.ok()) return;
  for (const auto& queue : configuration->queues) {
    EXPECT_GE(queue.policy.max_attempts, 0) << text;
    EXPECT_LE(queue.policy.target_latency, json::kMaxInterval) << text;
  }
}

void CheckStoredJob(std::string_view text) {
  const auto job = fleet::DecodeJob(JobId("a"), text);
  if (!job.ok()) return;
  EXPECT_TRUE(scheduling::Validate(job.value()).ok()) << text;
}

void CheckCall(std::string_view text) {
  fleet::Configuration configuration;
  configuration.queues.push_back({.host = "h", .path_prefix = "/a/"});
  http::Request request{.method = "POST", .path = "/a/5c0e7a21d94b36f8"};
  request.headers = {{"Host", "h"}, {"X-Request-Deadline", "9223372036854775807"}};
  request.body = QByteArray(text.data(), static_cast<qsizetype>(text.size()));
  const HttpClientProtocol protocol;
  const auto decoded = protocol.DecodeHead(request, configuration);
  ASSERT_TRUE(std::holds_alternative<fleet::CallHead>(decoded));
  const auto& head = std::get<fleet::CallHead>(decoded);
  EXPECT_GT(head.deadline, Duration::zero());
  const auto action = protocol.Decode(request, head);
  if (const auto* accepted = std::get_if<fleet::CallAction>(&action)) {
    EXPECT_TRUE(scheduling::Validate(std::get<fleet::SubmitJob>(*accepted).definition).ok())
        << text;
  }
}

std::vector<FuzzedDecoder> Decoders() {
  return {
      {"executor", {std::string(kExecutor)}, CheckExecutor},
      {"report",
       {R"({"clockMs":482113,"born":5,"active":[["5c0e7a21d94b36f8.0.1.17",2,"saved",41,12.5]],)"
        R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"},
       CheckReport},
      {"configuration",
       {R"({"version":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","backend":"p",)"
        R"("maxAttempts":3,"latencyMultiplier":1.6,"targetLatencyMs":600,"priority":1,)"
        R"("advice":{"decisionMs":30,"periodMs":2,"validMs":900}}],)"
        R"("services":[{"name":"p","rejectsOverload":true}],"limits":{"maxBodyBytes":1000},)"
        R"("tenants":[{"name":"t","apiKeys":["k"],"weight":2,"maxCount":{"cpu":5}}]})"},
       CheckConfiguration},
      {"wave",
       {R"({"wave":3,"machines":["m-1","m-2"],"completeByS":25,"maxCount":2})"},
       [](std::string_view text) {
         const auto wave = DecodeWave(text);
         if (!wave.ok()) return;
         EXPECT_GE(wave->time_left_at_start, Duration::zero()) << text;
       }},
      {"stored job",
       {R"({"queue":"q","payload":"x","accepted":1700000000000,"policy":{"priority":0,)"
        R"("attempts":3,"multiplier":1.6,"target":600,"advice":{"delay":3,"per_executor":0.1,)"
        R"("validity":900}},"steps":[{"n":3,"cpu":500,"mem":64,"est":900,"apart":2},)"
        R"({"n":1,"after":[0],"flags":3}],"first_due":1700000000000,"interval":500,"times":4})"},
       CheckStoredJob},
      {"progress",
       {R"({"state":1,"finished":2,"occurrences":[{"k":3,"steps":["D-","-"]}],)"
        R"("checkpoints":[[3,1,0,"saved"]],"failed":[[3,0,2,16052]]})"},
       [](std::string_view text) { static_cast<void>(fleet::DecodeProgress(text)); }},
      {"link",
       {R"({"address":"10.0.0.1:80","born":5,"end":7})"},
       [](std::string_view text) {
         static_cast<void>(fleet::DecodeLink(scheduling::ExecutorId("i"), text));
       }},
      {"demand",
       {R"({"standby":false,"instances":9,"movable":2,"cores":64,"wanted":12.5,"least":1,)"
        R"("departing":{"q":1},"surges":3,"predecessor":"q","lag_ms":4500,"surge_cores":99})"},
       [](std::string_view text) { static_cast<void>(fleet::DecodeDemand(PoolName("p"), text)); }},
      {"call",
       {R"({"spec":"s","steps":[{"replicas":4,"cpu":500,"memMb":256,"estimateMs":900,)"
        R"("affinity":"r1-3","fillCount":1},{"replicas":2,"after":[0],"daemon":true}],)"
        R"("firstDueMs":1700000000000,"intervalMs":500,"times":3})"},
       CheckCall},
  };
}

/// Changes a message at random: bytes, numbers, members, its length and its nesting.
std::string Mutate(std::string text, std::mt19937_64& random) {
  static const std::vector<std::string> kOdd{"1e308",
                                             "-1e308",
                                             "9223372036854775807",
                                             "9223372036854775808",
                                             "18446744073709551616",
                                             "-1",
                                             "0",
                                             "2147483648",
                                             "1.5",
                                             "null",
                                             "true",
                                             "\"\"",
                                             "{}",
                                             "[]",
                                             Nested(40),
                                             Nested(10000),
                                             "\"\xff\"",
                                             "\"99999\""};
  const auto draw = [&](size_t bound) { return static_cast<size_t>(random() % bound); };
  for (size_t i = 0; i <= draw(3) && !text.empty(); ++i) {
    const size_t at = draw(text.size());
    switch (draw(6)) {
      case 0:
        text[at] = static_cast<char>(draw(256));
        break;
      case 1:
        text.resize(at);
        break;
      case 2:
        text.insert(at, text.substr(draw(text.size()), draw(40)));
        break;
      default: {  // Replaces a number or a text.
        const size_t begin = text.find_first_of("0123456789\"", at);
        if (begin == std::string::npos) break;
        const size_t end = text[begin] == '"' ? text.find('"', begin + 1)
                                              : text.find_first_not_of("0123456789.", begin) - 1;
        if (end == std::string::npos || end < begin) break;
        text.replace(begin, end - begin + 1, kOdd[draw(kOdd.size())]);
      }
    }
  }
  return text;
}

// Guards against input that ends the process or passes the checks of a decoder with a value out of
// range; the sanitizers find overflows and conversions that are undefined. The environment variable
// CITRONFERRY_MUTATIONS sets the number of inputs for each decoder, CITRONFERRY_SEED the seed.
TEST(MalformedInputTest, MutatedMessagesAreDecodedOrRejected) {
  const auto read = [](const char* name, uint64_t fallback) {
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
  };
  const uint64_t seed = read("CITRONFERRY_SEED", 1);
  const uint64_t count = read("CITRONFERRY_MUTATIONS", 4000);
  for (const FuzzedDecoder& decoder : Decoders()) {
    SCOPED_TRACE(decoder.name + " seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    for (uint64_t i = 0; i < count && !::testing::Test::HasFailure(); ++i) {
      decoder.decode(Mutate(decoder.corpus[i % decoder.corpus.size()], random));
    }
  }
}

}  // namespace
}  // namespace citronferry::platform
