#ifndef CITRONFERRY_HTTP_SERVER_H_
#define CITRONFERRY_HTTP_SERVER_H_

#include <QHostAddress>
#include <QSslConfiguration>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "base/ret.h"
#include "http/client_budget.h"
#include "http/message.h"
#include "supervision/supervisor.h"
#include "supervision/task_scope.h"

namespace citronferry::http {

struct ServerLimits {
  qint64 max_header_bytes = 16 * 1024;
  qint64 max_body_bytes = 1024 * 1024;
  /// Longest time without any byte of a request.
  Duration idle_timeout = 60s;
  /// Longest time from the first byte of a request to the end of its header block. Clients may take
  /// 3 s.
  Duration header_timeout = 6s;
  /// Time that every transfer may take, in addition to its bytes at the lowest rate. It covers the
  /// pause of 15 s that clients may make.
  Duration transfer_grace = 16s;
  /// Lowest rate of a body, and of a response that is read, as a whole.
  qint64 min_bytes_per_second = 16 * 1024;
};

struct ServerOptions {
  QHostAddress address;
  quint16 port = 0;  ///< 0 lets the kernel choose a free port.
  ServerLimits limits;
  std::optional<QSslConfiguration> tls;
  Duration drain_timeout = 30s;  ///< Longest wait for requests in flight when stopping.
  /// Memory and connections of clients, shared with the other servers of the process; it must
  /// outlive the server. Without one, the server has a budget of its own.
  ClientBudget* budget = nullptr;
};

class Connection;

/// Handles one request and returns its response.
using Handler = std::function<QCoro::Task<Response>(Request)>;

/// HTTP server with one task for each connection. The task answers the requests of its connection
/// in order of arrival. What a client may hold is bounded by ServerLimits and a ClientBudget.
/// @note The responses 408, 413, 431 and 503 of the server itself mean that the handler did not see
///   the request.
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

  /// Starts the task of a connection, or pauses accepting if there is no room for it.
  void Accept(qintptr descriptor);
  QCoro::Task<void> ServeConnection(std::shared_ptr<Connection> connection);
  /// Stops accepting until there is room.
  void PauseAccepting();
  /// Advances the timeouts of the connections, and accepts again if there is room.
  void OnTick();

  TimerService& m_timers;
  ServerOptions m_options;
  Handler m_handler;
  std::unique_ptr<ClientBudget> m_own_budget;
  ClientBudget& m_budget;
  StopSignal m_stop;
  std::unordered_set<Connection*> m_connections;
  TaskScope m_tasks;
  size_t m_in_flight = 0;
  bool m_paused = false;
  std::unique_ptr<Listener> m_listener;
  Subscription m_ticks;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_SERVER_H_
