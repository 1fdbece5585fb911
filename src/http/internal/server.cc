#include "http/server.h"

#include <sys/socket.h>

#include <QSslSocket>
#include <QTcpServer>

#include "http/internal/connection.h"
#include "http/internal/connection_limits.h"
#include "telemetry/log.h"

namespace citronferry::http {
namespace {

// Accepted sockets inherit the options.
void BoundKernelBuffers(qintptr descriptor) {
  for (const int option : {SO_RCVBUF, SO_SNDBUF}) {
    const int size = kSocketBufferBytes;
    if (setsockopt(static_cast<int>(descriptor), SOL_SOCKET, option, &size, sizeof(size)) != 0) {
      Log(LogLevel::kWarning, "socket_buffer_unbounded", {{"option", option}});
    }
  }
}

std::unique_ptr<QTcpSocket> OpenSocket(qintptr descriptor,
                                       const std::optional<QSslConfiguration>& tls) {
  // A QSslSocket loads the TLS libraries, which take memory, so plain-text connections use a
  // QTcpSocket.
  std::unique_ptr<QTcpSocket> socket(tls ? new QSslSocket : new QTcpSocket);
  if (!socket->setSocketDescriptor(descriptor)) return nullptr;
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  if (tls) {
    auto* encrypted = static_cast<QSslSocket*>(socket.get());
    encrypted->setSslConfiguration(*tls);
    encrypted->startServerEncryption();
  }
  return socket;
}

}  // namespace

/// Passes the descriptor of each accepted connection to the server.
class Server::Listener : public QTcpServer {
 public:
  explicit Listener(Server& server) : m_server(server) {
    // Qt pauses accepting itself when accept fails, such as for want of descriptors.
    QObject::connect(this, &QTcpServer::acceptError, this, [this] { m_server.PauseAccepting(); });
  }

 protected:
  void incomingConnection(qintptr descriptor) override { m_server.Accept(descriptor); }

 private:
  Server& m_server;
};

Server::Server(TimerService& timers, ServerOptions options, Handler handler)
    : m_timers(timers),
      m_options(std::move(options)),
      m_handler(std::move(handler)),
      m_own_budget(m_options.budget
                       ? nullptr
                       : std::make_unique<ClientBudget>(ClientBudget::DeriveLimits(0, 0))),
      m_budget(m_options.budget ? *m_options.budget : *m_own_budget) {}

Server::~Server() = default;

Ret Server::Listen() {
  m_listener = std::make_unique<Listener>(*this);
  if (!m_listener->listen(m_options.address, m_options.port)) {
    const std::string reason = m_listener->errorString().toStdString();
    m_listener.reset();
    return {ErrorCode::kUnavailable, "cannot listen on " +
                                         m_options.address.toString().toStdString() + ":" +
                                         std::to_string(m_options.port) + ": " + reason};
  }
  BoundKernelBuffers(m_listener->socketDescriptor());
  m_ticks = m_timers.Subscribe(kConnectionTick, [this] { OnTick(); });
  return MakeOk();
}

quint16 Server::port() const { return m_listener ? m_listener->serverPort() : 0; }

QCoro::Task<Ret> Server::Run() {
  if (!m_listener) {
    Ret ret = Listen();
    if (!ret) co_return ret;
  }
  Mailbox<int> stopped;
  Subscription stop = m_stop.Subscribe([&] { stopped.Close(); });
  co_await stopped.Next();
  m_listener->close();
  for (Connection* connection : m_connections) connection->CloseInput();
  co_return co_await m_tasks.Join(m_timers, m_options.drain_timeout);
}

void Server::Accept(qintptr descriptor) {
  // QTcpServer accepts all connections of the backlog in one go. Those beyond the budget are served
  // as well; the budget's limits leave room for the backlogs.
  if (!m_budget.Admit()) PauseAccepting();
  std::unique_ptr<QTcpSocket> socket = OpenSocket(descriptor, m_options.tls);
  if (!socket) return;
  auto connection = std::make_shared<Connection>(std::move(socket), m_options.limits, m_budget);
  m_tasks.Spawn([this, connection]() -> QCoro::Task<void> { return ServeConnection(connection); });
}

void Server::PauseAccepting() {
  if (std::exchange(m_paused, true)) return;
  m_budget.Count(ClientLimitEvent::kPausedAccepting);
  m_listener->pauseAccepting();
}

void Server::OnTick() {
  for (Connection* connection : m_connections) connection->Tick();
  if (!m_paused || !m_budget.Admit() || m_stop.requested()) return;
  m_paused = false;
  m_listener->resumeAccepting();
}

QCoro::Task<void> Server::ServeConnection(std::shared_ptr<Connection> connection) {
  m_connections.insert(connection.get());
  while (co_await connection->ReadRequest()) {
    if (!connection->ReserveForHandling()) break;
    ++m_in_flight;
    Request request = connection->TakeRequest();
    const Response response = co_await m_handler(std::move(request));
    const bool close =
        !connection->keep_alive() || (m_stop.requested() && !connection->has_pipelined());
    const bool written = co_await connection->WriteResponse(response, close);
    --m_in_flight;
    if (!written || close) break;
  }
  co_await connection->Close();
  m_connections.erase(connection.get());
}

}  // namespace citronferry::http
