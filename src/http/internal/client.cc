#include "http/client.h"

#include <QElapsedTimer>
#include <QHostAddress>
#include <QUrl>
#include <algorithm>
#include <iterator>
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
                                                         const ClientRequest& request) {
  ServerPool& pool = m_servers[authority];
  if (pool.in_use >= m_options.max_connections_per_server) return nullptr;
  std::erase_if(pool.idle, [](const auto& connection) { return !connection->reusable(); });
  const auto found =
      std::find_if(pool.idle.rbegin(), pool.idle.rend(), [&](const auto& connection) {
        return !request.required_label || connection->label() == request.required_label;
      });
  if (found != pool.idle.rend() && request.idempotency != Idempotency::kNonIdempotent) {
    std::unique_ptr<ClientConnection> connection = std::move(*found);
    pool.idle.erase(std::next(found).base());
    ++pool.in_use;
    return connection;
  }
  if (request.required_label) {
    if (pool.in_use == 0 && pool.idle.empty()) m_servers.erase(authority);
    return nullptr;
  }
  ++pool.in_use;
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
    std::unique_ptr<ClientConnection> connection = TakeConnection(authority, request);
    if (!connection) {
      const std::string_view reason =
          request.required_label ? "no idle connection with the label" : "all connections in use";
      co_return Ret(ErrorCode::kUnavailable, authority + ": " + std::string(reason));
    }
    const bool reused = connection->used();
    const qint64 started_ms = elapsed.elapsed();
    // If the process was suspended, the deadline may have passed when a connection closes; a timer
    // does not accept a negative interval.
    const Duration left = std::max<Duration>(
        Duration::zero(), request.timeout - std::chrono::milliseconds(elapsed.elapsed()));
    ExchangeResult result = co_await connection->Exchange(url, request, left);
    if (request.read_label && result.outcome == ExchangeOutcome::kComplete) {
      connection->SetLabel(request.read_label(result.response));
    }
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
