#ifndef CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_
#define CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_

#include <QHttpServerResponder>
#include <QPointer>
#include <memory>

#include "http/internal/request_size_limiter.h"
#include "http/message.h"
#include "supervision/awaitables.h"

namespace citronferry::http {

/// A parsed request with the responder that writes its response.
struct PendingRequest {
  Request request;
  std::unique_ptr<QHttpServerResponder> responder;
  bool close_after = false;  ///< The caller asked to close the connection after the response.
};

/// Server side of one connection: the queue between the parser and the connection's task.
class Connection {
 public:
  Connection(QTcpSocket& socket, const ServerLimits& limits);

  /// Queues a request; called by the parser.
  /// @return false when too many requests are queued or the input has ended.
  bool Enqueue(PendingRequest pending);
  /// Refuses further requests; those in the queue remain.
  void CloseInput() { m_requests.Close(); }

  /// @return the next request, or nothing when the connection has ended or was idle too long.
  Mailbox<PendingRequest>::NextAwaiter Next(TimerService& timers, Duration timeout) {
    return m_requests.Next(timers, timeout);
  }
  size_t queued() const { return m_requests.size(); }

  /// Writes a response, unless the caller has disconnected.
  /// @param close whether to close the connection after this response.
  void Write(PendingRequest& pending, const Response& response, bool close);
  void Disconnect();

 private:
  QPointer<QTcpSocket> m_socket;
  size_t m_max_queued;
  RequestSizeLimiter m_size_limiter;
  std::shared_ptr<StopSignal> m_abandoned = std::make_shared<StopSignal>();
  Mailbox<PendingRequest> m_requests;
};

/// Copies a parsed request out of Qt's object, which the parser reuses for the next one.
Request CopyRequest(const QHttpServerRequest& request);

/// Detects requests that could be used for request smuggling: with both a Content-Length and a
/// Transfer-Encoding, or several of either, the load balancer and this server can disagree on where
/// the body ends.
/// @return why the request must be refused before it is handled, or nothing.
std::optional<std::string> FindFramingError(const Request& request);

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_
