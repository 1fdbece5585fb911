#ifndef CITRONFERRY_TELEMETRY_BOUNDED_LOG_WRITER_H_
#define CITRONFERRY_TELEMETRY_BOUNDED_LOG_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace citronferry {

struct BoundedLogOptions {
  /// Lines per second over a longer time. A busy owner writes about a hundred.
  double lines_per_second = 400;
  /// Lines that may come at once, such as those of a takeover.
  double burst_lines = 2000;
  /// Lines wait here while the reader is slow.
  size_t max_buffered_bytes = 256 * 1024;
  /// Lines are written together up to this size, the atomic size of a pipe.
  size_t write_bytes = 4096;
};

/// Writes log lines to a descriptor without ever waiting for its reader. Lines beyond the bounds
/// are left out, and their number is written in their place.
class BoundedLogWriter {
 public:
  explicit BoundedLogWriter(int descriptor, BoundedLogOptions options = {});

  /// Takes a line, which is written at once if enough of them wait.
  /// @param now of any steady clock.
  void Append(std::string_view line, Duration now);
  /// Writes what the reader can take now.
  void Flush();

  uint64_t dropped_lines() const { return m_dropped_total; }
  size_t buffered_bytes() const { return m_buffer.size(); }

 private:
  bool Admit(size_t bytes, Duration now);

  int m_descriptor;
  BoundedLogOptions m_options;
  std::string m_buffer;
  double m_tokens;
  Duration m_refilled_at{};
  uint64_t m_dropped = 0;  // Not reported yet.
  uint64_t m_dropped_total = 0;
};

}  // namespace citronferry

#endif  // CITRONFERRY_TELEMETRY_BOUNDED_LOG_WRITER_H_
