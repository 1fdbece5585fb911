#include "telemetry/bounded_log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace citronferry {

BoundedLogWriter::BoundedLogWriter(int descriptor, BoundedLogOptions options)
    : m_descriptor(descriptor), m_options(options), m_tokens(options.burst_lines) {}

bool BoundedLogWriter::Admit(size_t bytes, Duration now) {
  const double refill = ToSeconds(now - m_refilled_at) * m_options.lines_per_second;
  m_tokens = std::min(m_options.burst_lines, m_tokens + std::max(0.0, refill));
  m_refilled_at = now;
  if (m_tokens < 1 || m_buffer.size() + bytes > m_options.max_buffered_bytes) return false;
  m_tokens -= 1;
  return true;
}

void BoundedLogWriter::Append(std::string_view line, Duration now) {
  if (!Admit(line.size() + 1, now)) {
    ++m_unreported_drops;
    ++m_dropped_lines;
    Flush();
    return;
  }
  if (m_unreported_drops > 0) {
    m_buffer += "{\"level\":\"warning\",\"event\":\"log_lines_left_out\",\"count\":" +
                std::to_string(m_unreported_drops) + "}\n";
    m_unreported_drops = 0;
  }
  m_buffer += line;
  m_buffer += '\n';
  if (m_buffer.size() >= m_options.write_bytes) Flush();
}

void BoundedLogWriter::Flush() {
  while (!m_buffer.empty()) {
    pollfd destination{.fd = m_descriptor, .events = POLLOUT};
    if (poll(&destination, 1, 0) <= 0 || (destination.revents & POLLOUT) == 0) return;
    // A writable pipe accepts at least PIPE_BUF bytes without blocking.
    const size_t size = std::min(m_buffer.size(), m_options.write_bytes);
    const ssize_t written = write(m_descriptor, m_buffer.data(), size);
    if (written <= 0) return;
    m_buffer.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace citronferry
