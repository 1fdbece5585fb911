#include "http/internal/connection.h"

#include <QHttpServerRequest>
#include <QMetaEnum>
#include <QUrl>
#include <algorithm>

namespace citronferry::http {
namespace {

std::string MethodName(QHttpServerRequest::Method method) {
  switch (method) {
    case QHttpServerRequest::Method::Get:
      return "GET";
    case QHttpServerRequest::Method::Put:
      return "PUT";
    case QHttpServerRequest::Method::Delete:
      return "DELETE";
    case QHttpServerRequest::Method::Post:
      return "POST";
    case QHttpServerRequest::Method::Head:
      return "HEAD";
    default:
      return "OTHER";
  }
}

}  // namespace

Connection::Connection(QTcpSocket& socket, const ServerLimits& limits)
    : m_socket(&socket),
      m_max_queued(limits.max_pipelined_requests),
      m_size_limiter(socket, limits) {
  QObject::connect(&socket, &QAbstractSocket::disconnected, &socket, [this] {
    m_requests.Close();
    m_abandoned->Request();
  });
}

bool Connection::Enqueue(PendingRequest pending) {
  m_size_limiter.Reset();
  if (m_requests.closed() || m_requests.size() >= m_max_queued) return false;
  pending.request.abandoned = m_abandoned;
  m_requests.Push(std::move(pending));
  return true;
}

void Connection::Write(PendingRequest& pending, const Response& response, bool close) {
  if (!m_socket || m_socket->state() != QAbstractSocket::ConnectedState) return;
  QHttpServerResponder& responder = *pending.responder;
  responder.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(response.status));
  for (const Header& header : response.headers) {
    responder.writeHeader(QByteArray::fromStdString(header.name),
                          QByteArray::fromStdString(header.value));
  }
  responder.writeHeader("Content-Length", QByteArray::number(response.body.size()));
  if (close) responder.writeHeader("Connection", "close");
  responder.writeBody(response.body);
  if (close) m_socket->disconnectFromHost();
}

void Connection::Disconnect() {
  if (m_socket) m_socket->disconnectFromHost();
}

Request CopyRequest(const QHttpServerRequest& request) {
  Request copy;
  copy.method = MethodName(request.method());
  copy.path = request.url().path(QUrl::FullyDecoded).toStdString();
  copy.query = request.url().query().toStdString();
  for (const auto& [name, value] : request.headers()) {
    copy.headers.push_back({name.toStdString(), value.toStdString()});
  }
  copy.body = request.body();
  copy.remote_address = request.remoteAddress().toString().toStdString();
  return copy;
}

std::optional<std::string> FindFramingError(const Request& request) {
  const size_t lengths = CountHeader(request.headers, "Content-Length");
  const size_t codings = CountHeader(request.headers, "Transfer-Encoding");
  if (lengths > 1) return "several Content-Length headers";
  if (codings > 1) return "several Transfer-Encoding headers";
  if (lengths > 0 && codings > 0) return "both Content-Length and Transfer-Encoding";
  return std::nullopt;
}

}  // namespace citronferry::http
