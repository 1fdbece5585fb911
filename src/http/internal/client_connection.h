#ifndef CITRONFERRY_HTTP_INTERNAL_CLIENT_CONNECTION_H_
#define CITRONFERRY_HTTP_INTERNAL_CLIENT_CONNECTION_H_

#include <QTcpSocket>
#include <QUrl>
#include <memory>
#include <optional>

#include "http/client.h"

namespace citronferry::http {

/// How one exchange on a connection ended.
enum class ExchangeOutcome {
  kComplete,
  kNotSent,               ///< No connection was established.
  kClosed,                ///< The connection was closed before the response was complete.
  kClosedBeforeResponse,  ///< As kClosed, before the first byte of the response.
  kTimedOut,
  kAborted,
  kTooLarge,
  kMalformed,  ///< The response does not follow HTTP/1.1.
};

struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::kClosed;
  Response response;
  std::string error;  ///< Error of the socket, unless the outcome is kComplete.
  qint64 sent_bytes = 0;
  qint64 received_bytes = 0;
};

/// Client side of one connection, which carries one exchange at a time.
class ClientConnection {
 public:
  /// @param generation the client's count of invalidations, which tells whether this connection was
  ///   opened before the latest one.
  ClientConnection(const ClientOptions& options, uint64_t generation);
  ~ClientConnection();

  /// Sends a request, connecting first if needed, and receives the response.
  /// @param timeout for the whole exchange, with connecting.
  QCoro::Task<ExchangeResult> Exchange(const QUrl& url, const ClientRequest& request,
                                       Duration timeout);

  /// @return whether the connection can carry another exchange.
  bool reusable() const;
  /// @return whether the connection has carried an exchange already.
  bool used() const { return m_used; }
  uint64_t generation() const { return m_generation; }
  /// @return ClientRequest::required_label of the requests that it may carry, if it has one.
  std::optional<int64_t> label() const { return m_label; }
  void SetLabel(std::optional<int64_t> label) { m_label = label; }

 private:
  const ClientOptions& m_options;
  uint64_t m_generation;
  std::optional<int64_t> m_label;
  std::unique_ptr<QTcpSocket> m_socket;
  bool m_keep_alive = false;
  bool m_used = false;
  bool m_server_closes = false;  ///< The response is complete and the server was asked to close.
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_CLIENT_CONNECTION_H_
