#include "telemetry/bounded_log_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

namespace citronferry {
namespace {

class BoundedLogWriterTest : public ::testing::Test {
 protected:
  BoundedLogWriterTest() { EXPECT_EQ(pipe(m_pipe.data()), 0); }
  ~BoundedLogWriterTest() override {
    for (const int descriptor : m_pipe) close(descriptor);
  }
  std::string ReadSome() {
    std::string text(1 << 16, '\0');
    const ssize_t size = read(m_pipe[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<size_t>(size) : 0);
    return text;
  }

  std::array<int, 2> m_pipe{};
};

TEST_F(BoundedLogWriterTest, LinesAreWrittenInOrder) {
  BoundedLogWriter writer(m_pipe[1]);
  writer.Append("first", 0s);
  writer.Append("second", 0s);
  writer.Flush();
  EXPECT_EQ(ReadSome(), "first\nsecond\n");
}

// Guards against a process that blocks in a write to the log because nobody reads the pipe.
TEST_F(BoundedLogWriterTest, StalledReaderDoesNotBlock) {
  BoundedLogWriter writer(
      m_pipe[1], {.lines_per_second = 1e9, .burst_lines = 1e9, .max_buffered_bytes = 10000});
  const std::string line(1000, 'x');
  for (int i = 0; i < 500; ++i) writer.Append(line, 0s);  // Far more than a pipe holds.
  EXPECT_GT(writer.dropped_lines(), 300u);
  EXPECT_LE(writer.buffered_bytes(), 10000u);
}

// Lines beyond the rate limit must be dropped, and their number must be logged.
TEST_F(BoundedLogWriterTest, LinesBeyondTheRateAreDroppedAndCounted) {
  BoundedLogWriter writer(m_pipe[1], {.lines_per_second = 10, .burst_lines = 5});
  for (int i = 0; i < 50; ++i) writer.Append("line", 0s);
  EXPECT_EQ(writer.dropped_lines(), 45u);
  writer.Append("later", 1s);
  writer.Flush();
  const std::string text = ReadSome();
  EXPECT_NE(text.find("\"log_lines_left_out\",\"count\":45}"), std::string::npos) << text;
  EXPECT_NE(text.find("later"), std::string::npos);
}

}  // namespace
}  // namespace citronferry
