#ifndef CITRONFERRY_HTTP_INTERNAL_REQUEST_SIZE_LIMITER_H_
#define CITRONFERRY_HTTP_INTERNAL_REQUEST_SIZE_LIMITER_H_

#include <QByteArray>
#include <QTcpSocket>

#include "http/server.h"

namespace citronferry::http {

/// Rejects a request whose header block is over its limit, or whose header block and body together
/// are over the sum of both limits, and closes the connection.
/// QAbstractHttpServer itself accepts bodies and headers of any size.
class RequestSizeLimiter {
 public:
  /// @param socket must not be connected to a parser yet, since the limiter has to see the
  /// bytes first.
  RequestSizeLimiter(QTcpSocket& socket, const ServerLimits& limits);

  /// Starts counting the next request.
  void Reset();

 private:
  void InspectReceived();
  void Reject(const char* status_line);

  QTcpSocket& m_socket;
  ServerLimits m_limits;
  qint64 m_received = 0;
  QByteArray m_header;  // Start of the request until its header block is complete.
  bool m_header_complete = false;
  bool m_rejected = false;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_REQUEST_SIZE_LIMITER_H_
