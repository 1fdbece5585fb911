#ifndef CITRONFERRY_HTTP_CLIENT_H_
#define CITRONFERRY_HTTP_CLIENT_H_

#include <qcoro/qcorotask.h>

#include <QSslConfiguration>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ret.h"
#include "base/time.h"
#include "http/message.h"
#include "supervision/awaitables.h"

namespace citronferry::http {

class ClientConnection;

/// Whether a request may be executed more than once, in the terms of HTTP (RFC 9110).
enum class Idempotency {
  kSafe,  ///< It only reads, so it is repeated when a kept-alive connection closes.
  /// It may be executed again, but the caller has to know that an attempt may have taken effect: a
  /// later response, for example 503, does not tell that the request was not executed.
  kIdempotent,
  kNonIdempotent,
};

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  Headers headers;
  QByteArray body;
  Duration timeout = 1s;  ///< For the whole exchange, with connecting and repeated attempts.
  /// Each received part of the response starts the timeout again, up to 30 times the timeout in
  /// all. For large responses, which take long on a thin link.
  bool progress_extends_timeout = false;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  StopSignal* abort = nullptr;  ///< Optional; ends the exchange early when raised.
  /// Sends the request only on a kept-alive connection that has this label; if there is none, it
  /// fails with kUnavailable. A server that restarts closes its connections, so a request with the
  /// label of one process of a server never reaches the next one.
  std::optional<int64_t> required_label;
  /// Optional; tells from the response which label the connection has from then on.
  std::function<std::optional<int64_t>(const Response&)> read_label;
  std::string_view kind;  ///< What the request is for, in ExchangeRecord; a literal.
};

/// What an exchange took, for counters.
struct ExchangeRecord {
  std::string_view kind;      ///< ClientRequest::kind.
  qint64 sent_bytes = 0;      ///< With the header.
  qint64 received_bytes = 0;  ///< With the header.
  Duration duration{};
  bool opened_connection = false;
  bool answered = false;  ///< The whole response was received.
};

struct ClientOptions {
  size_t max_connections_per_server = 64;  ///< Requests beyond it fail with kUnavailable.
  size_t max_idle_connections_per_server = 8;
  qint64 max_response_bytes = 8 * 1024 * 1024;
  std::optional<QSslConfiguration> tls;
};

using ExchangeObserver = std::function<void(const ExchangeRecord&)>;

/// HTTP/1.1 client that sends a request with an effect at most once. It uses Qt sockets and the
/// message parser and serializer of Boost.Beast.
///
/// Each non-idempotent request has its own connection, which is closed afterwards, so it is never
/// written to a kept-alive connection that a middlebox has dropped from its state table. Safe and
/// idempotent requests share kept-alive connections. If a kept-alive connection closes before the
/// first byte of the response, a safe request is repeated on another connection, since the server
/// may have closed the first one while it was idle.
class Client {
 public:
  explicit Client(ClientOptions options = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends one request and receives the whole response.
  /// @return the response with any status; otherwise
  ///   kUnavailable when there was no connection, so that the request was certainly not sent;
  ///   kUnknownOutcome when the request may have reached the server;
  ///   kCancelled when abort was raised, with the same uncertainty as kUnknownOutcome;
  ///   kInvalidArgument when the URL is not valid or its host is not an IP address.
  QCoro::Task<RetVal<Response>> Send(ClientRequest request);

  /// Closes the idle connections and prevents the reuse of those in use, for when a peer has
  /// stopped responding on one of them. Exchanges in flight continue.
  void InvalidateConnections();

  /// Sets a function that is called after each exchange.
  void SetObserver(ExchangeObserver observer) { m_observer = std::move(observer); }

  /// @return connections opened since the start.
  uint64_t opened_connections() const { return m_opened_connections; }

 private:
  struct ServerPool {
    size_t in_use = 0;
    std::vector<std::unique_ptr<ClientConnection>> idle;
  };

  std::unique_ptr<ClientConnection> TakeConnection(const std::string& authority,
                                                   const ClientRequest& request);
  void ReturnConnection(const std::string& authority, std::unique_ptr<ClientConnection> connection);

  ClientOptions m_options;
  ExchangeObserver m_observer;
  std::map<std::string, ServerPool> m_servers;  // Key: host and port.
  uint64_t m_generation = 0;                    // Incremented by InvalidateConnections.
  uint64_t m_opened_connections = 0;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_CLIENT_H_
