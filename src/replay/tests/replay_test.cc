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

// Each trace states the promise it guards in its first line.
TEST_P(TraceTest, MeetsItsStatedOutcomes) {
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

// Guards against a trace that passes because nothing was compared.
TEST(ReplayTest, RefusesTracesWithoutOutcomes) {
  EXPECT_FALSE(ReplayTrace("{\"at_ms\":0,\"event\":\"end\"}\n").ok());
  EXPECT_FALSE(ReplayTrace("").ok());
  const ReplayResult unknown = ReplayTrace(
      "{\"at_ms\":0,\"event\":\"end\"}\n"
      "{\"event\":\"expect\",\"what\":\"colour\",\"at_most\":1}\n");
  EXPECT_FALSE(unknown.ok());
}

// Guards against a damaged trace that crashes the reader or passes without a comparison.
TEST(ReplayTest, DamagedTracesNeverCrashTheReader) {
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

// Guards against faults in a trace that are reported without their place.
TEST(ReplayTest, NamesTheLineOfAFault) {
  EXPECT_EQ(ReplayTrace("{\"at_ms\":5,\"event\":\"end\"}\n{broken\n").error.substr(0, 7),
            "line 2:");
  EXPECT_EQ(ReplayTrace("{\"at_ms\":5,\"event\":\"end\"}\n{\"at_ms\":1,\"event\":\"end\"}\n").error,
            "line 2: \"at_ms\" goes backwards");
  EXPECT_NE(ReplayTrace("{\"at_ms\":0,\"event\":\"nonsense\"}\n"
                        "{\"event\":\"expect\",\"what\":\"requests\",\"at_most\":1}\n")
                .error.find("unknown event"),
            std::string::npos);
}

}  // namespace
}  // namespace citronferry::replay
