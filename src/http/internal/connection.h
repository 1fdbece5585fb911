#ifndef CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_
#define CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_

#include <QHttpServerResponder>
#include <QPointer>
#include <memory>

#include "http/internal/request_size_limiter.h"
#include "http/message.h"
#include "supervision/awaitables.h"

namespace citronferry::http {

/// A parsed request together with the means to answer it.
struct PendingRequest {
  Request request;
  std::unique_ptr<QHttpServerResponder> responder;
  bool close_after = false;
};

/// Server side of one connection: the queue between the parser and the connection's task.
class Connection {
 public:
  Connection(QTcpSocket& socket, const ServerLimits& limits);

  /// Queues a request; called by the parser.
  /// @return false when too many requests are queued or the input has ended.
  bool Enqueue(PendingRequest pending);
  /// Ends the stream of requests.
  void CloseInput() { m_requests.Close(); }

  /// @return the next request, or nothing when the connection has ended or was idle too long.
  Mailbox<PendingRequest>::NextAwaiter Next(TimerService& timers, Duration timeout) {
    return m_requests.Next(timers, timeout);
  }
  size_t queued() const { return m_requests.size(); }

  /// Writes a response, unless the caller has gone.
  /// @param close whether the connection ends after this response.
  void Write(PendingRequest& pending, const Response& response, bool close);
  void Disconnect();

 private:
  QPointer<QTcpSocket> m_socket;
  size_t m_max_queued;
  RequestMeter m_meter;
  std::shared_ptr<StopSignal> m_abandoned = std::make_shared<StopSignal>();
  Mailbox<PendingRequest> m_requests;
};

/// Copies a parsed request out of Qt's object, which the parser reuses for the next one.
Request CopyRequest(const QHttpServerRequest& request);

/// @return why a request must be refused before it is handled, or nothing.
/// A request that has both a Content-Length and a Transfer-Encoding, or several lengths, can be
/// read as two different requests by the balancer and by this server.
std::optional<std::string> FindFramingFault(const Request& request);

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_
