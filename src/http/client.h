#ifndef CITRONFERRY_HTTP_CLIENT_H_
#define CITRONFERRY_HTTP_CLIENT_H_

#include <qcoro/qcorotask.h>

#include <QSslConfiguration>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ret.h"
#include "base/time.h"
#include "http/message.h"
#include "supervision/awaitables.h"

namespace citronferry::http {

class ClientConnection;

/// Whether a request may be carried out more than once.
enum class Idempotency { kIdempotent, kNonIdempotent };

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  Headers headers;
  QByteArray body;
  Duration timeout = 1s;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  StopSignal* abort = nullptr;  ///< Optional; ends the exchange early when it is raised.
};

struct ClientOptions {
  size_t max_connections_per_server = 64;
  size_t max_idle_connections_per_server = 8;
  qint64 max_response_bytes = 8 * 1024 * 1024;
  std::optional<QSslConfiguration> tls;
};

/// HTTP/1.1 client on Qt sockets with Boost.Beast's codec that sends a non-idempotent request at
/// most once.
///
/// A non-idempotent request travels on a connection of its own that is closed afterwards, so it is
/// never written to a kept-alive connection that a middlebox has forgotten. Idempotent requests
/// share kept-alive connections; one that ends before the first byte of the response is replaced
/// once by a fresh connection, since the server may have closed it while it was idle.
class Client {
 public:
  explicit Client(ClientOptions options = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends one request and receives the whole response.
  /// @return the response with any status; otherwise
  ///   kUnavailable when no connection was made, so that the request was certainly not sent;
  ///   kUnknownOutcome when the request may have reached the server;
  ///   kCancelled when abort was raised, with the same uncertainty as kUnknownOutcome;
  ///   kInvalidArgument when the URL does not name an IP address.
  QCoro::Task<RetVal<Response>> Send(ClientRequest request);

  /// Uses no kept-alive connection again, after a peer stopped answering on one of them. Exchanges
  /// that are in flight go on.
  void InvalidateConnections();

  /// @return connections opened since the start.
  uint64_t opened_connections() const { return m_opened_connections; }

 private:
  struct ServerPool {
    size_t in_use = 0;
    std::vector<std::unique_ptr<ClientConnection>> idle;
  };

  std::unique_ptr<ClientConnection> TakeConnection(const std::string& authority,
                                                   Idempotency idempotency);
  void ReturnConnection(const std::string& authority, std::unique_ptr<ClientConnection> connection);

  ClientOptions m_options;
  std::map<std::string, ServerPool> m_servers;  // By authority.
  uint64_t m_generation = 0;                    // Raised by InvalidateConnections.
  uint64_t m_opened_connections = 0;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_CLIENT_H_
