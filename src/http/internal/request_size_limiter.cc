#include "http/internal/request_size_limiter.h"

#include <algorithm>

namespace citronferry::http {
namespace {

constexpr qint64 kReadBufferMarginBytes = 64 * 1024;
constexpr char kHeaderEnd[] = "\r\n\r\n";

}  // namespace

RequestSizeLimiter::RequestSizeLimiter(QTcpSocket& socket, const ServerLimits& limits)
    : m_socket(socket), m_limits(limits) {
  socket.setReadBufferSize(limits.max_header_bytes + limits.max_body_bytes +
                           kReadBufferMarginBytes);
  QObject::connect(&socket, &QIODevice::readyRead, &socket, [this] { InspectReceived(); });
}

void RequestSizeLimiter::Reset() {
  m_received = 0;
  m_header.clear();
  m_header_complete = false;
}

void RequestSizeLimiter::InspectReceived() {
  if (m_rejected) return;
  const qint64 available = m_socket.bytesAvailable();
  m_received += available;
  if (!m_header_complete) {
    const qint64 remaining = m_limits.max_header_bytes + 1 - m_header.size();
    m_header += m_socket.peek(std::min(available, remaining));
    m_header_complete = m_header.contains(kHeaderEnd);
    if (!m_header_complete && m_header.size() > m_limits.max_header_bytes) {
      Reject("431 Request Header Fields Too Large");
      return;
    }
    if (m_header_complete) m_header.clear();
  }
  if (m_received > m_limits.max_header_bytes + m_limits.max_body_bytes) {
    Reject("413 Payload Too Large");
  }
}

void RequestSizeLimiter::Reject(const char* status_line) {
  m_rejected = true;
  // Discards the received bytes, so that the parser sees nothing of the rejected request.
  m_socket.skip(m_socket.bytesAvailable());
  m_socket.write("HTTP/1.1 ");
  m_socket.write(status_line);
  m_socket.write("\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  m_socket.disconnectFromHost();
}

}  // namespace citronferry::http
