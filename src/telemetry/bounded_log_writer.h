#ifndef CITRONFERRY_TELEMETRY_BOUNDED_LOG_WRITER_H_
#define CITRONFERRY_TELEMETRY_BOUNDED_LOG_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace citronferry {

/// Limits of a BoundedLogWriter: a token bucket for the rate, and a buffer size.
struct BoundedLogOptions {
  /// Sustained rate in lines per second. A busy pool owner writes about a hundred.
  double lines_per_second = 400;
  /// Burst size in lines, for events such as a takeover.
  double burst_lines = 2000;
  /// Size of the buffer for lines that a slow reader has not taken yet.
  size_t max_buffered_bytes = 256 * 1024;
  /// Buffered bytes that trigger a write, and the maximum size of a write. A write of up to
  /// PIPE_BUF (4096) bytes to a pipe is atomic.
  size_t write_bytes = 4096;
};

/// Writes log lines to a file descriptor without blocking on its reader. Lines beyond the limits
/// are dropped, and a line with their number is written in their place.
class BoundedLogWriter {
 public:
  explicit BoundedLogWriter(int descriptor, BoundedLogOptions options = {});

  /// Buffers a line, or drops it if a limit is exceeded. Writes once write_bytes are buffered.
  /// @param line text without the line end.
  /// @param now time of a steady clock with any epoch.
  void Append(std::string_view line, Duration now);
  /// Writes buffered bytes until the destination would block.
  void Flush();

  uint64_t dropped_lines() const { return m_dropped_lines; }
  size_t buffered_bytes() const { return m_buffer.size(); }

 private:
  /// Takes a token from the bucket if a line of this size is within the limits.
  /// @return whether it is.
  bool Admit(size_t bytes, Duration now);

  int m_descriptor;
  BoundedLogOptions m_options;
  std::string m_buffer;
  double m_tokens;
  Duration m_refilled_at{};
  uint64_t m_unreported_drops = 0;  // Since the last line that reported drops.
  uint64_t m_dropped_lines = 0;
};

}  // namespace citronferry

#endif  // CITRONFERRY_TELEMETRY_BOUNDED_LOG_WRITER_H_
