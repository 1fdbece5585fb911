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

TEST_F(BoundedLogWriterTest, LinesArriveInTheirOrder) {
  BoundedLogWriter writer(m_pipe[1]);
  writer.Append("first", 0s);
  writer.Append("second", 0s);
  writer.Flush();
  EXPECT_EQ(ReadSome(), "first\nsecond\n");
}

// Guards against a reader that stands still and holds the process up.
TEST_F(BoundedLogWriterTest, ReaderThatStandsStillDelaysNobody) {
  BoundedLogWriter writer(
      m_pipe[1], {.lines_per_second = 1e9, .burst_lines = 1e9, .max_buffered_bytes = 10000});
  const std::string line(1000, 'x');
  for (int i = 0; i < 500; ++i) writer.Append(line, 0s);  // Far more than a pipe takes.
  EXPECT_GT(writer.dropped_lines(), 300u);
  EXPECT_LE(writer.buffered_bytes(), 10000u);
}

// Guards against a flood of lines under load, and against lines that are left out silently.
TEST_F(BoundedLogWriterTest, LinesBeyondTheRateAreCounted) {
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
