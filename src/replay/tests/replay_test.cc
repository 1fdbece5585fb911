#include "replay/replay.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace citronferry::replay {
namespace {

std::vector<std::filesystem::path> TraceFiles() {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(CITRONFERRY_TRACE_DIR)) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class TraceTest : public ::testing::TestWithParam<std::filesystem::path> {};

// The first line of each trace says which guarantee it tests.
TEST_P(TraceTest, MeetsItsExpectations) {
  const ReplayResult result = ReplayTrace(ReadText(GetParam()));
  EXPECT_EQ(result.error, "");
  EXPECT_FALSE(result.expectations.empty());
  for (const ExpectationResult& expectation : result.expectations) {
    EXPECT_TRUE(expectation.met) << GetParam().filename() << ':' << expectation.line << ": "
                                 << expectation.description;
  }
}

INSTANTIATE_TEST_SUITE_P(Traces, TraceTest, ::testing::ValuesIn(TraceFiles()),
                         [](const auto& info) { return info.param.stem().string(); });

// A trace in which nothing is compared must not pass.
TEST(ReplayTest, RejectsTracesWithoutExpectations) {
  EXPECT_FALSE(ReplayTrace("{\"at_ms\":0,\"event\":\"end\"}\n").ok());
  EXPECT_FALSE(ReplayTrace("").ok());
  const ReplayResult unknown = ReplayTrace(
      "{\"at_ms\":0,\"event\":\"end\"}\n"
      "{\"event\":\"expect\",\"what\":\"colour\",\"at_most\":1}\n");
  EXPECT_FALSE(unknown.ok());
}

// A corrupted trace must neither crash the reader nor pass without a comparison.
TEST(ReplayTest, CorruptedTracesNeverCrashTheReader) {
  constexpr int kRounds = 300;
  std::mt19937 random(20261204);
  for (const std::filesystem::path& path : TraceFiles()) {
    const std::string valid = ReadText(path).substr(0, 1500);
    for (int round = 0; round < kRounds; ++round) {
      std::string damaged = valid;
      for (int i = 0; i < 3; ++i) {
        damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
      }
      damaged.resize(damaged.size() - random() % 20);
      const ReplayResult result = ReplayTrace(damaged);
      EXPECT_TRUE(!result.error.empty() || !result.expectations.empty());
    }
  }
}

// An error in a trace is reported with its line number.
TEST(ReplayTest, ReportsTheLineOfAnError) {
  EXPECT_EQ(ReplayTrace("{\"at_ms\":5,\"event\":\"end\"}\n{broken\n").error.substr(0, 7),
            "line 2:");
  EXPECT_EQ(ReplayTrace("{\"at_ms\":5,\"event\":\"end\"}\n{\"at_ms\":1,\"event\":\"end\"}\n").error,
            "line 2: \"at_ms\" is less than that of the event before");
  EXPECT_NE(ReplayTrace("{\"at_ms\":0,\"event\":\"nonsense\"}\n"
                        "{\"event\":\"expect\",\"what\":\"requests\",\"at_most\":1}\n")
                .error.find("unknown event"),
            std::string::npos);
}

}  // namespace
}  // namespace citronferry::replay
