#ifndef CITRONFERRY_HTTP_CLIENT_H_
#define CITRONFERRY_HTTP_CLIENT_H_

#include <qcoro/qcorotask.h>

#include <QSslConfiguration>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ret.h"
#include "base/time.h"
#include "http/message.h"
#include "supervision/awaitables.h"

class QNetworkAccessManager;
class QNetworkReply;

namespace citronferry::http {

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
  qint64 max_response_bytes = 8 * 1024 * 1024;
  std::optional<QSslConfiguration> tls;
};

/// HTTP client over Qt that sends a non-idempotent request at most once.
///
/// A non-idempotent request travels on a connection of its own that is closed afterwards, so it is
/// never written to a kept-alive connection that a middlebox has forgotten.
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
  void ForgetConnections();

 private:
  struct Lane;

  Lane* AcquireLane(const std::string& authority, Idempotency idempotency);
  void ReleaseLane(Lane* lane, const std::string& authority);
  QNetworkReply* StartExchange(Lane& lane, const ClientRequest& request);

  ClientOptions m_options;
  std::vector<std::unique_ptr<Lane>> m_lanes;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_CLIENT_H_
