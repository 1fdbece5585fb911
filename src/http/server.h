#ifndef CITRONFERRY_HTTP_SERVER_H_
#define CITRONFERRY_HTTP_SERVER_H_

#include <QHostAddress>
#include <QSslConfiguration>
#include <functional>
#include <memory>
#include <optional>

#include "base/ret.h"
#include "http/message.h"
#include "supervision/supervisor.h"
#include "supervision/task_scope.h"

namespace citronferry::http {

struct ServerLimits {
  qint64 max_header_bytes = 16 * 1024;
  qint64 max_body_bytes = 1024 * 1024;
  size_t max_connections = 2048;
  size_t max_pipelined_requests = 16;
  /// Longest time between two complete requests of a connection; also disconnects slow
  /// senders.
  Duration idle_timeout = 60s;
};

struct ServerOptions {
  QHostAddress address;
  quint16 port = 0;  ///< 0 lets the kernel choose a free port.
  ServerLimits limits;
  std::optional<QSslConfiguration> tls;
  Duration drain_timeout = 30s;  ///< Longest wait for requests in flight when stopping.
};

class Connection;

/// Handles one request and returns its response.
using Handler = std::function<QCoro::Task<Response>(Request)>;

/// HTTP server with one task for each connection. The task answers the requests of its connection
/// in order of arrival.
class Server : public Service {
 public:
  /// @param handler may suspend; what it refers to must outlive the server.
  Server(TimerService& timers, ServerOptions options, Handler handler);
  ~Server() override;

  /// Binds the listening socket.
  /// @return kUnavailable when the address cannot be bound.
  Ret Listen();
  /// Serves until Stop is called, then waits up to drain_timeout for the requests in flight.
  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

  /// @return the bound port, after Listen.
  quint16 port() const;
  /// @return requests that were received but not answered yet.
  size_t in_flight() const { return m_in_flight; }

 private:
  class Listener;
  class Acceptor;
  friend class Acceptor;

  QCoro::Task<void> ServeConnection(std::shared_ptr<Connection> connection);

  TimerService& m_timers;
  ServerOptions m_options;
  Handler m_handler;
  StopSignal m_stop;
  TaskScope m_tasks;
  size_t m_in_flight = 0;
  std::unique_ptr<Acceptor> m_acceptor;
  Listener* m_listener = nullptr;  // Owned by the acceptor.
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_SERVER_H_
