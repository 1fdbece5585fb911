#include "http/client.h"

#include <QHostAddress>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <map>

#include "http/internal/one_time_body.h"

namespace citronferry::http {
namespace {

// QNetworkAccessManager queues further requests to the same host and port internally.
constexpr int kConnectionsPerManager = 6;

struct ReplyDeleter {
  void operator()(QNetworkReply* reply) const {
    reply->disconnect();
    reply->abort();
    reply->deleteLater();
  }
};

// The connection failed before any byte of the request could be written.
bool IsCertainlyNotSent(QNetworkReply::NetworkError error) {
  return error == QNetworkReply::ConnectionRefusedError ||
         error == QNetworkReply::HostNotFoundError ||
         error == QNetworkReply::SslHandshakeFailedError;
}

// Qt hands a request to any idle or closing connection of its host. When a server closes
// connections before it answers, up to a fifth of the other requests then end with an unknown
// outcome although they were never sent. The peer name is a part of the key under which Qt keeps
// connections, so a unique name gives the request a connection of its own. With TLS the name is
// verified and has to stay, so there the lanes carry one request at a time instead.
void UseOwnConnection(QNetworkRequest& request) {
  request.setRawHeader("Connection", "close");
  if (request.url().scheme() == QStringLiteral("https")) return;
  static quint64 next_connection = 0;
  request.setPeerVerifyName(QString::number(++next_connection));
  request.setAttribute(QNetworkRequest::ConnectionCacheExpiryTimeoutSecondsAttribute, 1);
}

QNetworkRequest BuildRequest(const ClientRequest& request, const ClientOptions& options) {
  QNetworkRequest built{QUrl(QString::fromStdString(request.url), QUrl::StrictMode)};
  // Keeps Qt from asking for compression and from decompressing the caller's answer.
  built.setRawHeader("Accept-Encoding", "identity");
  for (const Header& header : request.headers) {
    built.setRawHeader(QByteArray::fromStdString(header.name),
                       QByteArray::fromStdString(header.value));
  }
  built.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                     QNetworkRequest::ManualRedirectPolicy);
  built.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
  built.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
  built.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
  built.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  built.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  if (options.tls) built.setSslConfiguration(*options.tls);
  if (request.idempotency == Idempotency::kNonIdempotent) UseOwnConnection(built);
  return built;
}

Response ReadResponse(QNetworkReply& reply) {
  Response response;
  response.status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  for (const auto& [name, value] : reply.rawHeaderPairs()) {
    response.headers.push_back({name.toStdString(), value.toStdString()});
  }
  response.body = reply.readAll();
  return response;
}

bool IsComplete(QNetworkReply& reply) {
  if (!reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).isValid()) return false;
  // Statuses of 400 and above are reported as errors too, but the response is whole.
  return reply.error() == QNetworkReply::NoError ||
         (reply.error() >= QNetworkReply::ContentAccessDenied &&
          reply.error() != QNetworkReply::ContentReSendError);
}

enum class ExchangeEnd { kFinished, kTimedOut, kAborted, kTooLarge };

RetVal<Response> ReadResult(QNetworkReply& reply, ExchangeEnd end, const std::string& authority) {
  switch (end) {
    case ExchangeEnd::kTimedOut:
      return Ret(ErrorCode::kUnknownOutcome, "no answer from " + authority + " in time");
    case ExchangeEnd::kAborted:
      return Ret(ErrorCode::kCancelled, "exchange aborted");
    case ExchangeEnd::kTooLarge:
      return Ret(ErrorCode::kUnknownOutcome, "answer from " + authority + " is too large");
    case ExchangeEnd::kFinished:
      break;
  }
  if (IsComplete(reply)) return ReadResponse(reply);
  return Ret(
      IsCertainlyNotSent(reply.error()) ? ErrorCode::kUnavailable : ErrorCode::kUnknownOutcome,
      authority + ": " + reply.errorString().toStdString());
}

}  // namespace

/// One QNetworkAccessManager with its share of the connections.
struct Client::Lane {
  explicit Lane(Idempotency purpose) : idempotency(purpose) {
    manager.setProxy(QNetworkProxy::NoProxy);
  }

  Idempotency idempotency;
  QNetworkAccessManager manager;
  std::map<std::string, int> in_flight;  // By authority of the server.
  bool retired = false;                  // Ends when its exchanges have ended.
};

Client::Client(ClientOptions options) : m_options(std::move(options)) {}

Client::~Client() = default;

void Client::ForgetConnections() {
  // QNetworkAccessManager::clearConnectionCache also ends the exchanges in flight without telling
  // their replies, so the managers are replaced instead.
  for (const auto& lane : m_lanes) lane->retired = true;
  std::erase_if(m_lanes, [](const auto& lane) { return lane->in_flight.empty(); });
}

void Client::ReleaseLane(Lane* lane, const std::string& authority) {
  if (--lane->in_flight[authority] == 0) lane->in_flight.erase(authority);
  if (!lane->retired || !lane->in_flight.empty()) return;
  std::erase_if(m_lanes, [lane](const auto& owned) { return owned.get() == lane; });
}

Client::Lane* Client::AcquireLane(const std::string& authority, Idempotency idempotency) {
  const int capacity =
      m_options.tls && idempotency == Idempotency::kNonIdempotent ? 1 : kConnectionsPerManager;
  size_t total = 0;
  Lane* free_lane = nullptr;
  for (const auto& lane : m_lanes) {
    const auto found = lane->in_flight.find(authority);
    const int in_flight = found == lane->in_flight.end() ? 0 : found->second;
    total += static_cast<size_t>(in_flight);
    if (!free_lane && !lane->retired && lane->idempotency == idempotency && in_flight < capacity) {
      free_lane = lane.get();
    }
  }
  if (total >= m_options.max_connections_per_server) return nullptr;
  if (!free_lane) {
    m_lanes.push_back(std::make_unique<Lane>(idempotency));
    free_lane = m_lanes.back().get();
  }
  ++free_lane->in_flight[authority];
  return free_lane;
}

QNetworkReply* Client::StartExchange(Lane& lane, const ClientRequest& request) {
  QNetworkRequest built = BuildRequest(request, m_options);
  const QByteArray method = QByteArray::fromStdString(request.method);
  if (method == "GET" || method == "HEAD") return lane.manager.sendCustomRequest(built, method);
  // The explicit length keeps the body device in use for an empty body as well; without it Qt drops
  // the device and sends the request again after a closed connection.
  built.setHeader(QNetworkRequest::ContentLengthHeader, request.body.size());
  if (!built.hasRawHeader("Content-Type")) {
    built.setRawHeader("Content-Type", "application/octet-stream");
  }
  auto* body = new OneTimeBody(request.body);
  // POST and PUT keep the device for an empty body; sendCustomRequest does not.
  QNetworkReply* reply = method == "POST"  ? lane.manager.post(built, body)
                         : method == "PUT" ? lane.manager.put(built, body)
                                           : lane.manager.sendCustomRequest(built, method, body);
  body->setParent(reply);
  return reply;
}

QCoro::Task<RetVal<Response>> Client::Send(ClientRequest request) {
  const QUrl url(QString::fromStdString(request.url), QUrl::StrictMode);
  if (!url.isValid() || QHostAddress(url.host()).isNull()) {
    co_return Ret(ErrorCode::kInvalidArgument, "not a URL with an IP address: " + request.url);
  }
  const std::string authority = url.authority().toStdString();
  Lane* lane = AcquireLane(authority, request.idempotency);
  if (!lane) co_return Ret(ErrorCode::kUnavailable, "all connections to " + authority + " in use");

  OneShot<ExchangeEnd> end;
  std::unique_ptr<QNetworkReply, ReplyDeleter> reply(StartExchange(*lane, request));
  reply->setReadBufferSize(0);
  QObject::connect(reply.get(), &QNetworkReply::finished, [&] { end.Set(ExchangeEnd::kFinished); });
  QObject::connect(reply.get(), &QNetworkReply::downloadProgress, [&](qint64 received, qint64) {
    if (received > m_options.max_response_bytes) end.Set(ExchangeEnd::kTooLarge);
  });
  QTimer timeout;
  timeout.setSingleShot(true);
  QObject::connect(&timeout, &QTimer::timeout, [&] { end.Set(ExchangeEnd::kTimedOut); });
  timeout.start(std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout));
  Subscription abort;
  if (request.abort) {
    abort = request.abort->Subscribe([&] { end.Set(ExchangeEnd::kAborted); });
  }

  const ExchangeEnd exchange_end = co_await end.Wait();
  RetVal<Response> result = ReadResult(*reply, exchange_end, authority);
  // The reply belongs to the lane's manager, so it ends first.
  reply.reset();
  ReleaseLane(lane, authority);
  co_return result;
}

}  // namespace citronferry::http
