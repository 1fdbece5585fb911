#include <gtest/gtest.h>

#include <sstream>

#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

namespace citronferry {
namespace {

// Guards against invalid JSON when a value contains quotes or control characters.
TEST(LogTest, EscapesValues) {
  std::ostringstream out;
  InitLogging(LogLevel::kInfo, out);
  Log(LogLevel::kInfo, "test_event", {{"text", "a\"b\nc"}, {"count", 3}, {"flag", true}});
  EXPECT_NE(out.str().find(R"("event":"test_event","text":"a\"b\u000ac","count":3,"flag":true})"),
            std::string::npos)
      << out.str();
}

// Guards against log lines below the configured level.
TEST(LogTest, DropsLinesBelowTheLevel) {
  std::ostringstream out;
  InitLogging(LogLevel::kWarning, out);
  Log(LogLevel::kInfo, "quiet");
  EXPECT_TRUE(out.str().empty());
}

// Guards against spans with invalid ids taken from a caller's malformed traceparent header.
TEST(TraceTest, RejectsMalformedHeaders) {
  const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto parsed = TraceContext::Parse(valid);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->ToHeader(), valid);
  EXPECT_FALSE(TraceContext::Parse("").has_value());
  EXPECT_FALSE(TraceContext::Parse(valid.substr(1)).has_value());
  EXPECT_FALSE(TraceContext::Parse("00-" + std::string(32, '0') + "-b7ad6b7169203331-01"));
  EXPECT_FALSE(TraceContext::Parse("00-" + std::string(32, 'G') + "-b7ad6b7169203331-01"));
}

// Guards against counters that lose their labels or increments.
TEST(MetricsTest, RendersCounters) {
  Metrics metrics;
  metrics.Counter("citronferry_test_total", "Test.", {{"outcome", "answered"}}).Increment();
  metrics.Counter("citronferry_test_total", "Test.", {{"outcome", "answered"}}).Increment();
  EXPECT_NE(metrics.Render().find("citronferry_test_total{outcome=\"answered\"} 2"),
            std::string::npos);
}

}  // namespace
}  // namespace citronferry
