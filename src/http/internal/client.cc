#include "http/client.h"

#include <QElapsedTimer>
#include <QHostAddress>
#include <QUrl>
#include <algorithm>
#include <utility>

#include "http/internal/client_connection.h"

namespace citronferry::http {
namespace {

RetVal<Response> ToResponse(ExchangeResult result, const std::string& authority) {
  switch (result.outcome) {
    case ExchangeOutcome::kComplete:
      return std::move(result.response);
    case ExchangeOutcome::kNotSent:
      return Ret(ErrorCode::kUnavailable, authority + ": no connection: " + result.error);
    case ExchangeOutcome::kTimedOut:
      return Ret(ErrorCode::kUnknownOutcome, "no answer from " + authority + " in time");
    case ExchangeOutcome::kAborted:
      return Ret(ErrorCode::kCancelled, "exchange aborted");
    case ExchangeOutcome::kTooLarge:
      return Ret(ErrorCode::kUnknownOutcome, "answer from " + authority + " is too large");
    case ExchangeOutcome::kMalformed:
      return Ret(ErrorCode::kUnknownOutcome, "answer from " + authority + " is malformed");
    case ExchangeOutcome::kClosed:
    case ExchangeOutcome::kClosedBeforeResponse:
      break;
  }
  return Ret(ErrorCode::kUnknownOutcome, authority + ": " + result.error);
}

}  // namespace

Client::Client(ClientOptions options) : m_options(std::move(options)) {}

Client::~Client() = default;

void Client::InvalidateConnections() {
  ++m_generation;
  for (auto& [authority, pool] : m_servers) pool.idle.clear();
}

std::unique_ptr<ClientConnection> Client::TakeConnection(const std::string& authority,
                                                         Idempotency idempotency) {
  ServerPool& pool = m_servers[authority];
  if (pool.in_use >= m_options.max_connections_per_server) return nullptr;
  ++pool.in_use;
  while (idempotency != Idempotency::kNonIdempotent && !pool.idle.empty()) {
    std::unique_ptr<ClientConnection> connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (connection->reusable()) return connection;
  }
  ++m_opened_connections;
  return std::make_unique<ClientConnection>(m_options, m_generation);
}

void Client::ReturnConnection(const std::string& authority,
                              std::unique_ptr<ClientConnection> connection) {
  ServerPool& pool = m_servers[authority];
  --pool.in_use;
  const bool keep = connection->reusable() && connection->generation() == m_generation &&
                    pool.idle.size() < m_options.max_idle_connections_per_server;
  if (keep) pool.idle.push_back(std::move(connection));
  if (pool.in_use == 0 && pool.idle.empty()) m_servers.erase(authority);
}

QCoro::Task<RetVal<Response>> Client::Send(ClientRequest request) {
  const QUrl url(QString::fromStdString(request.url), QUrl::StrictMode);
  if (!url.isValid() || QHostAddress(url.host()).isNull()) {
    co_return Ret(ErrorCode::kInvalidArgument, "not a URL with an IP address: " + request.url);
  }
  const std::string authority = url.authority().toStdString();
  QElapsedTimer elapsed;
  elapsed.start();
  while (true) {
    std::unique_ptr<ClientConnection> connection = TakeConnection(authority, request.idempotency);
    if (!connection) {
      co_return Ret(ErrorCode::kUnavailable, "all connections to " + authority + " in use");
    }
    const bool reused = connection->used();
    const qint64 started_ms = elapsed.elapsed();
    // If the process was suspended, the deadline may have passed when a connection closes; a timer
    // does not accept a negative interval.
    const Duration left = std::max<Duration>(
        Duration::zero(), request.timeout - std::chrono::milliseconds(elapsed.elapsed()));
    ExchangeResult result = co_await connection->Exchange(url, request, left);
    ReturnConnection(authority, std::move(connection));
    if (m_observer) {
      m_observer({.kind = request.kind,
                  .sent_bytes = result.sent_bytes,
                  .received_bytes = result.received_bytes,
                  .duration = std::chrono::milliseconds(elapsed.elapsed() - started_ms),
                  .opened_connection = !reused,
                  .answered = result.outcome == ExchangeOutcome::kComplete});
    }
    // The server may have closed the kept-alive connection while it was idle.
    if (result.outcome == ExchangeOutcome::kClosedBeforeResponse && reused &&
        request.idempotency == Idempotency::kSafe) {
      continue;
    }
    co_return ToResponse(std::move(result), authority);
  }
}

}  // namespace citronferry::http
