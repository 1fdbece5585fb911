#include "http/internal/client_connection.h"

#include <QElapsedTimer>
#include <QNetworkProxy>
#include <QSslSocket>
#include <QTimer>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <utility>

namespace citronferry::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

using Parser = beast::http::response_parser<beast::http::string_body>;

// Exceeds every header block that the servers of this client send.
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;

// Bounds an exchange whose response arrives in small parts, as a multiple of its timeout.
constexpr int kMaxExtension = 30;

// Longest wait for the server to close the connection, which it does right after a response if the
// request had "Connection: close".
constexpr std::chrono::milliseconds kServerCloseTimeout{1000};

QByteArray Serialize(const QUrl& url, const ClientRequest& request, bool keep_alive) {
  beast::http::request<beast::http::string_body> message;
  message.method_string(request.method);
  QByteArray target = url.path(QUrl::FullyEncoded).toUtf8();
  if (target.isEmpty()) target = "/";
  if (url.hasQuery()) target += '?' + url.query(QUrl::FullyEncoded).toUtf8();
  message.target({target.constData(), static_cast<size_t>(target.size())});
  message.set(beast::http::field::host, url.authority().toStdString());
  for (const Header& header : request.headers) message.set(header.name, header.value);
  if (!keep_alive) message.set(beast::http::field::connection, "close");
  const bool has_body = request.method != "GET" && request.method != "HEAD";
  if (has_body) {
    message.body() = request.body.toStdString();
    if (message.find(beast::http::field::content_type) == message.end()) {
      message.set(beast::http::field::content_type, "application/octet-stream");
    }
    message.content_length(message.body().size());
  }

  QByteArray bytes;
  beast::http::request_serializer<beast::http::string_body> serializer(message);
  beast::error_code error;
  while (!serializer.is_done()) {
    serializer.next(error, [&](beast::error_code&, const auto& buffers) {
      for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers)) {
        bytes.append(static_cast<const char*>(buffer.data()),
                     static_cast<qsizetype>(buffer.size()));
      }
      serializer.consume(asio::buffer_size(buffers));
    });
    if (error) break;
  }
  return bytes;
}

Response TakeResponse(Parser& parser) {
  Response response;
  auto message = parser.release();
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  response.body = QByteArray::fromStdString(message.body());
  return response;
}

/// Incremental parser of one response.
class ResponseReader {
 public:
  ResponseReader(bool expects_body, qint64 max_bytes) {
    m_parser.header_limit(kMaxHeaderBytes);
    m_parser.body_limit(static_cast<uint64_t>(max_bytes));
    m_parser.skip(!expects_body);
    m_parser.eager(true);
  }

  /// @return the outcome of the exchange, or nothing while more bytes are needed.
  std::optional<ExchangeOutcome> Read(QByteArrayView received) {
    m_received_bytes += received.size();
    m_buffer.append(received);
    while (!m_parser.is_done() && !m_buffer.isEmpty()) {
      beast::error_code error;
      const size_t used = m_parser.put(
          asio::buffer(m_buffer.constData(), static_cast<size_t>(m_buffer.size())), error);
      m_buffer.remove(0, static_cast<qsizetype>(used));
      if (error == beast::http::error::need_more) break;
      if (error == beast::http::error::body_limit) return ExchangeOutcome::kTooLarge;
      if (error) return ExchangeOutcome::kMalformed;
      if (used == 0) break;
    }
    if (!m_parser.is_done()) return std::nullopt;
    return ExchangeOutcome::kComplete;
  }

  /// @return the outcome of an exchange whose connection was closed.
  ExchangeOutcome ReadEof() {
    if (m_received_bytes == 0) return ExchangeOutcome::kClosedBeforeResponse;
    beast::error_code error;
    if (m_parser.got_some()) m_parser.put_eof(error);
    return !error && m_parser.is_done() ? ExchangeOutcome::kComplete : ExchangeOutcome::kClosed;
  }

  bool keep_alive() const { return m_parser.is_done() && m_parser.keep_alive(); }
  Response Take() { return TakeResponse(m_parser); }
  qint64 received_bytes() const { return m_received_bytes; }

 private:
  Parser m_parser;
  QByteArray m_buffer;  // Bytes that the parser has not consumed yet.
  qint64 m_received_bytes = 0;
};

std::unique_ptr<QTcpSocket> OpenSocket(const ClientOptions& options, const QUrl& url) {
  const auto port = static_cast<quint16>(url.port(options.tls ? 443 : 80));
  if (options.tls) {
    auto socket = std::make_unique<QSslSocket>();
    socket->setProxy(QNetworkProxy::NoProxy);
    socket->setSslConfiguration(*options.tls);
    socket->connectToHostEncrypted(url.host(), port);
    return socket;
  }
  auto socket = std::make_unique<QTcpSocket>();
  // By default Qt queries the system's proxy configuration for each connection, which takes a
  // thread and file accesses.
  socket->setProxy(QNetworkProxy::NoProxy);
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket->connectToHost(QHostAddress(url.host()), port);
  return socket;
}

}  // namespace

ClientConnection::ClientConnection(const ClientOptions& options, uint64_t generation)
    : m_options(options), m_generation(generation) {}

ClientConnection::~ClientConnection() {
  if (!m_socket) return;
  // The destructor may run inside a slot of the socket, so the socket is deleted later.
  QTcpSocket* socket = m_socket.release();
  socket->disconnect();
  if (m_server_closes && socket->state() == QAbstractSocket::ConnectedState) {
    // The side that closes first keeps its port in TIME_WAIT for a minute. A client that closes
    // first after each request runs out of ports, so the server is left to close.
    QObject::connect(socket, &QAbstractSocket::disconnected, socket, &QObject::deleteLater);
    QTimer::singleShot(kServerCloseTimeout, socket, [socket] {
      socket->abort();
      socket->deleteLater();
    });
    return;
  }
  socket->abort();
  socket->deleteLater();
}

bool ClientConnection::reusable() const {
  return m_socket && m_keep_alive && m_socket->state() == QAbstractSocket::ConnectedState &&
         m_socket->bytesAvailable() == 0;
}

QCoro::Task<ExchangeResult> ClientConnection::Exchange(const QUrl& url,
                                                       const ClientRequest& request,
                                                       Duration timeout) {
  OneShot<ExchangeOutcome> outcome;
  ResponseReader reader(request.method != "HEAD", m_options.max_response_bytes);
  if (!m_socket) m_socket = OpenSocket(m_options, url);
  QTcpSocket* socket = m_socket.get();
  bool sent = false;
  qint64 sent_bytes = 0;
  const bool keep_alive = request.idempotency != Idempotency::kNonIdempotent;
  const auto send = [&] {
    sent = true;
    sent_bytes = socket->write(Serialize(url, request, keep_alive));
  };

  QTimer timer;
  const auto longest = std::chrono::ceil<std::chrono::milliseconds>(timeout);
  QElapsedTimer elapsed;
  elapsed.start();
  const auto extend = [&] {
    const std::chrono::milliseconds left =
        longest * kMaxExtension - std::chrono::milliseconds(elapsed.elapsed());
    if (left > 0ms) timer.start(std::min(longest, left));
  };

  QObject context;
  QObject::connect(socket, &QIODevice::readyRead, &context, [&] {
    if (request.progress_extends_timeout) extend();
    if (const auto end = reader.Read(socket->readAll())) outcome.Set(*end);
  });
  const auto finish = [&] { outcome.Set(sent ? reader.ReadEof() : ExchangeOutcome::kNotSent); };
  QObject::connect(socket, &QAbstractSocket::disconnected, &context, finish);
  QObject::connect(socket, &QAbstractSocket::errorOccurred, &context, finish);
  if (m_options.tls && !m_used) {
    QObject::connect(static_cast<QSslSocket*>(socket), &QSslSocket::encrypted, &context, send);
  } else if (socket->state() == QAbstractSocket::ConnectedState) {
    send();
  } else {
    QObject::connect(socket, &QAbstractSocket::connected, &context, send);
  }
  timer.setSingleShot(true);
  QObject::connect(&timer, &QTimer::timeout, [&] {
    outcome.Set(sent ? ExchangeOutcome::kTimedOut : ExchangeOutcome::kNotSent);
  });
  timer.start(longest);
  Subscription abort;
  if (request.abort) {
    abort = request.abort->Subscribe([&] { outcome.Set(ExchangeOutcome::kAborted); });
  }

  ExchangeResult result;
  result.outcome = co_await outcome.Wait();
  result.sent_bytes = sent_bytes;
  result.received_bytes = reader.received_bytes();
  m_used = true;
  m_keep_alive = result.outcome == ExchangeOutcome::kComplete && keep_alive && reader.keep_alive();
  m_server_closes = result.outcome == ExchangeOutcome::kComplete && !keep_alive;
  if (result.outcome == ExchangeOutcome::kComplete) {
    result.response = reader.Take();
  } else {
    result.error = socket->errorString().toStdString();
  }
  co_return result;
}

}  // namespace citronferry::http
