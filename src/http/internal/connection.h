#ifndef CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_
#define CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_

#include <QByteArray>
#include <QTcpSocket>
#include <memory>
#include <optional>
#include <string>

#include "http/client_budget.h"
#include "http/internal/request_parser.h"
#include "http/message.h"
#include "http/server.h"
#include "supervision/awaitables.h"

namespace citronferry::http {

/// Interval of Connection::Tick. Timeouts are counted in ticks, so that the time for which the
/// process is paused does not count against a client.
inline constexpr Duration kConnectionTick = 500ms;

/// Server side of one connection, which carries one request at a time. Requests that are pipelined
/// stay unread until the response to the previous one has been written.
class Connection {
 public:
  using Awaiter = OneShot<bool>::Awaiter;

  Connection(std::unique_ptr<QTcpSocket> socket, const ServerLimits& limits, ClientBudget& budget);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Reads the next request.
  /// @return an awaitable that yields false when the connection ends, is idle for too long or has
  ///   refused the request.
  Awaiter ReadRequest();
  /// @return the request that was read.
  Request TakeRequest();
  /// @return whether the client asked to keep the connection after the request that was read.
  bool keep_alive() const { return m_parser->keep_alive(); }
  /// Reserves memory for what a handler makes of the request that was read.
  /// @return false if there is none; the request has been refused then.
  bool ReserveForHandling();
  /// Writes a response, unless the client has disconnected.
  /// @param close whether to announce that the connection is closed after this response.
  /// @return an awaitable that yields false when the client has not read the response.
  Awaiter WriteResponse(const Response& response, bool close);
  /// Closes the connection. After a refusal, what still arrives is discarded for a while, since
  /// closing a socket with unread bytes can destroy the response on its way to the client.
  Awaiter Close();
  /// Ends the wait for a request; requests that have arrived completely remain.
  void CloseInput();
  /// @return whether a part of another request has been read.
  bool has_pipelined() const { return !m_pipelined.isEmpty() || m_socket->bytesAvailable() > 0; }
  /// Advances the timeouts.
  void Tick();

 private:
  using Wait = std::optional<OneShot<bool>>;

  static void Finish(Wait& wait, bool result) {
    if (wait) wait->Set(result);
  }
  void OnReadable();
  void OnWritten();
  void OnDisconnected();
  /// Closes the connection in favour of others.
  void Reclaim();
  void ReadAvailable();
  void Parse(std::string_view received);
  /// Keeps bytes that the parser has not consumed.
  void KeepUnparsed(std::string_view bytes);
  void DiscardAvailable();
  /// Answers a request that is not handled and ends the wait for it.
  void Refuse(const Refusal& refusal);
  /// Hands a response to the socket.
  /// @return whether the kernel has taken all of it.
  bool Send(const Response& response, bool close);
  bool HasUnsentBytes() const;
  bool IsRequestTooSlow(int ticks) const;
  bool IsTransferTooSlow(int ticks, qint64 bytes) const;

  const ServerLimits& m_limits;
  ClientBudget& m_budget;
  std::unique_ptr<QTcpSocket> m_socket;
  std::string m_remote_address;
  std::shared_ptr<StopSignal> m_abandoned = std::make_shared<StopSignal>();
  std::optional<RequestParser> m_parser;
  QByteArray m_pipelined;  // Read, but not parsed yet.
  size_t m_charged_unparsed = 0;
  bool m_head_only = false;  // The request was HEAD.
  bool m_input_closed = false;
  bool m_refused = false;
  qint64 m_discarded = 0;
  qint64 m_response_bytes = 0;
  Wait m_request_read;
  Wait m_response_written;
  Wait m_closed;
  // Last, since the budget may call Reclaim as long as it exists.
  ClientBudget::Share m_share;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_CONNECTION_H_
