#include "http/internal/connection.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <QSslSocket>
#include <array>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "http/internal/connection_limits.h"

namespace citronferry::http {
namespace {

// Bounds how long and how much a client may go on sending after a refusal.
constexpr Duration kLinger = 2s;
constexpr qint64 kMaxDiscardedBytes = 2 * 1024 * 1024;
// JSON values and decoded jobs take up to this multiple of the body.
constexpr size_t kHandlingFactor = 4;
// Small responses are copied behind their header, which saves a system call.
constexpr qsizetype kMaxCopiedBytes = 8 * 1024;
constexpr char kRetryAfterSeconds[] = "1";
constexpr int kMaxStatusWithoutBody = 199;

int TicksOf(Duration duration) {
  // One more, since the first tick may follow at once.
  return static_cast<int>(duration / kConnectionTick) + 1;
}

QByteArray FormatHead(const Response& response, bool close) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(response.status)));
  QByteArray head;
  size_t size = 96;
  for (const Header& header : response.headers)
    size += header.name.size() + header.value.size() + 4;
  head.reserve(static_cast<qsizetype>(size) +
               (response.body.size() <= kMaxCopiedBytes ? response.body.size() : 0));
  const auto append = [&head](std::string_view text) {
    head.append(text.data(), static_cast<qsizetype>(text.size()));
  };
  append("HTTP/1.1 ");
  head.append(QByteArray::number(response.status)).append(' ');
  head.append(reason.data(), static_cast<qsizetype>(reason.size()));
  append("\r\n");
  for (const Header& header : response.headers) {
    append(header.name);
    append(": ");
    append(header.value);
    append("\r\n");
  }
  append("Content-Length: ");
  head.append(QByteArray::number(response.body.size()));
  append(close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
  return head;
}

}  // namespace

Connection::Connection(std::unique_ptr<QTcpSocket> socket, const ServerLimits& limits,
                       ClientBudget& budget)
    : m_limits(limits),
      m_budget(budget),
      m_socket(std::move(socket)),
      m_remote_address(m_socket->peerAddress().toString().toStdString()),
      m_share(budget,
              kConnectionBytes + (qobject_cast<QSslSocket*>(m_socket.get()) ? kTlsBytes : 0),
              [this] { Reclaim(); }) {
  QTcpSocket* context = m_socket.get();
  context->setReadBufferSize(static_cast<qint64>(kReadAheadBytes));
  QObject::connect(context, &QIODevice::readyRead, context, [this] { OnReadable(); });
  QObject::connect(context, &QIODevice::bytesWritten, context, [this] { OnWritten(); });
  QObject::connect(context, &QAbstractSocket::disconnected, context, [this] { OnDisconnected(); });
  if (auto* encrypted = qobject_cast<QSslSocket*>(context)) {
    QObject::connect(encrypted, &QSslSocket::encryptedBytesWritten, context,
                     [this] { OnWritten(); });
  }
}

Connection::~Connection() {
  // The destructor may run inside a slot of the socket, so the socket is deleted later.
  QTcpSocket* socket = m_socket.release();
  socket->disconnect();
  socket->abort();
  socket->deleteLater();
}

Connection::Awaiter Connection::ReadRequest() {
  m_share.Release();
  m_share.Enter(ClientBudget::Phase::kIdle);
  m_charged_unparsed = 0;
  m_parser.emplace(m_limits, m_share);
  m_request_read.emplace();
  if (m_socket->state() != QAbstractSocket::ConnectedState) {
    Finish(m_request_read, false);
    return m_request_read->Wait();
  }
  if (!m_pipelined.isEmpty()) {
    const QByteArray pipelined = std::exchange(m_pipelined, {});
    Parse({pipelined.constData(), static_cast<size_t>(pipelined.size())});
  }
  ReadAvailable();
  if (m_input_closed) Finish(m_request_read, false);
  return m_request_read->Wait();
}

Request Connection::TakeRequest() {
  Request request = m_parser->Take();
  request.remote_address = m_remote_address;
  request.abandoned = m_abandoned;
  m_head_only = request.method == "HEAD";
  return request;
}

bool Connection::ReserveForHandling() {
  if (m_share.Reserve(kHandlingFactor * m_parser->body_bytes())) return true;
  Refuse(kOutOfMemory);
  return false;
}

Connection::Awaiter Connection::WriteResponse(const Response& response, bool close) {
  m_response_written.emplace();
  m_response_bytes = response.body.size();
  // A response is delivered even if there is no room for it, since the request has run.
  m_share.Charge(static_cast<size_t>(m_response_bytes));
  if (m_socket->state() != QAbstractSocket::ConnectedState) {
    Finish(m_response_written, false);
  } else if (Send(response, close)) {
    Finish(m_response_written, true);
  } else {
    m_share.Enter(ClientBudget::Phase::kUnfinished);
  }
  return m_response_written->Wait();
}

Connection::Awaiter Connection::Close() {
  m_closed.emplace();
  m_parser.reset();
  m_pipelined = {};
  m_share.Release();
  m_share.Enter(ClientBudget::Phase::kUnfinished);
  if (m_socket->state() == QAbstractSocket::UnconnectedState) {
    Finish(m_closed, true);
    return m_closed->Wait();
  }
  if (!m_refused) {
    m_socket->disconnectFromHost();
    return m_closed->Wait();
  }
  // Shows the client the end of the response. The end of a TLS stream needs the socket itself.
  if (!HasUnsentBytes() && !qobject_cast<QSslSocket*>(m_socket.get())) {
    ::shutdown(static_cast<int>(m_socket->socketDescriptor()), SHUT_WR);
  }
  DiscardAvailable();
  return m_closed->Wait();
}

void Connection::CloseInput() {
  m_input_closed = true;
  Finish(m_request_read, false);
}

void Connection::Tick() {
  const int ticks = m_share.CountTick();
  if (m_closed) {
    if (ticks > TicksOf(kLinger)) m_socket->abort();
    return;
  }
  switch (m_share.phase()) {
    case ClientBudget::Phase::kIdle:
      if (ticks > TicksOf(m_limits.idle_timeout)) Finish(m_request_read, false);
      break;
    case ClientBudget::Phase::kUnfinished:
      if (m_response_written && !m_response_written->is_set()) {
        if (!IsTransferTooSlow(ticks, m_response_bytes)) break;
        m_budget.Count(ClientLimitEvent::kClosedUnreadResponse);
        m_socket->abort();
      } else if (!m_request_read->is_set() && IsRequestTooSlow(ticks)) {
        Refuse(kTooSlow);
      }
      break;
    case ClientBudget::Phase::kHandling:
      break;
  }
}

bool Connection::IsTransferTooSlow(int ticks, qint64 bytes) const {
  const Duration allowed =
      m_limits.transfer_grace +
      FromSeconds(static_cast<double>(bytes) / static_cast<double>(m_limits.min_bytes_per_second));
  return ticks > TicksOf(allowed);
}

bool Connection::IsRequestTooSlow(int ticks) const {
  if (!m_parser->is_header_done()) return ticks > TicksOf(m_limits.header_timeout);
  return IsTransferTooSlow(ticks, static_cast<qint64>(m_parser->body_bytes()));
}

void Connection::OnReadable() {
  if (m_closed) {
    DiscardAvailable();
  } else {
    ReadAvailable();
  }
}

void Connection::OnWritten() {
  if (!m_response_written || m_response_written->is_set() || HasUnsentBytes()) return;
  Finish(m_response_written, true);
}

void Connection::OnDisconnected() {
  m_abandoned->Request();
  Finish(m_request_read, false);
  Finish(m_response_written, false);
  Finish(m_closed, true);
}

void Connection::Reclaim() {
  const bool unfinished_request = m_request_read && !m_request_read->is_set() && m_parser &&
                                  m_share.phase() != ClientBudget::Phase::kIdle;
  m_parser.reset();
  m_pipelined = {};
  Finish(m_request_read, false);
  if (unfinished_request) Refuse(kOutOfMemory);
  m_socket->abort();
}

void Connection::ReadAvailable() {
  std::array<char, kReadAheadBytes> bytes;  // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (m_request_read && !m_request_read->is_set()) {
    const qint64 size = m_socket->read(bytes.data(), bytes.size());
    if (size <= 0) return;
    if (m_pipelined.isEmpty()) {
      Parse({bytes.data(), static_cast<size_t>(size)});
      continue;
    }
    m_pipelined.append(bytes.data(), size);
    const QByteArray joined = std::exchange(m_pipelined, {});
    Parse({joined.constData(), static_cast<size_t>(joined.size())});
  }
}

void Connection::Parse(std::string_view received) {
  if (m_share.phase() == ClientBudget::Phase::kIdle) {
    m_share.Enter(ClientBudget::Phase::kUnfinished);
  }
  const size_t used = m_parser->Put(received);
  if (m_parser->refusal()) {
    Refuse(*m_parser->refusal());
    return;
  }
  KeepUnparsed(received.substr(used));
  if (!m_parser->is_done() || m_request_read->is_set()) return;
  m_share.Enter(ClientBudget::Phase::kHandling);
  Finish(m_request_read, true);
}

void Connection::KeepUnparsed(std::string_view bytes) {
  if (bytes.empty()) return;
  // As much as one read is part of what the connection is charged for. More of it is the start of a
  // header block or of a chunk header, which the parser takes only as a whole.
  const size_t charged = bytes.size() > kReadAheadBytes ? bytes.size() - kReadAheadBytes : 0;
  if (bytes.size() > static_cast<size_t>(m_limits.max_header_bytes) + kReadAheadBytes) {
    Refuse(kHeaderTooLarge);
    return;
  }
  if (charged > m_charged_unparsed) {
    if (!m_share.Reserve(charged - m_charged_unparsed)) {
      Refuse(kOutOfMemory);
      return;
    }
    m_charged_unparsed = charged;
  }
  m_pipelined.append(bytes.data(), static_cast<qsizetype>(bytes.size()));
}

void Connection::DiscardAvailable() {
  m_discarded += m_socket->skip(m_socket->bytesAvailable());
  if (m_discarded > kMaxDiscardedBytes) m_socket->abort();
}

void Connection::Refuse(const Refusal& refusal) {
  m_refused = true;
  m_budget.Count(refusal.event);
  Response response = MakeErrorResponse(refusal.status, refusal.code, refusal.message);
  if (refusal.status == 503) response.headers.push_back({"Retry-After", kRetryAfterSeconds});
  Send(response, true);
  Finish(m_request_read, false);
}

bool Connection::Send(const Response& response, bool close) {
  QByteArray head = FormatHead(response, close);
  const bool has_body = !m_head_only && response.status > kMaxStatusWithoutBody;
  if (has_body && response.body.size() <= kMaxCopiedBytes) head.append(response.body);
  m_socket->write(head);
  if (has_body && response.body.size() > kMaxCopiedBytes) m_socket->write(response.body);
  m_socket->flush();
  return !HasUnsentBytes();
}

bool Connection::HasUnsentBytes() const {
  const auto* encrypted = qobject_cast<const QSslSocket*>(m_socket.get());
  return m_socket->bytesToWrite() > 0 || (encrypted && encrypted->encryptedBytesToWrite() > 0);
}

}  // namespace citronferry::http
