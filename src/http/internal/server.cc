#include "http/server.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QSslSocket>
#include <QTcpServer>
#include <unordered_map>

#include "http/internal/connection.h"
#include "telemetry/log.h"

namespace citronferry::http {

/// Creates the socket of each accepted connection and passes it to a callback before the HTTP
/// parser reads from it.
class Server::Listener : public QTcpServer {
 public:
  using SocketCallback = std::function<void(QTcpSocket&)>;

  Listener(const ServerOptions& options, SocketCallback socket_callback)
      : m_options(options), m_socket_callback(std::move(socket_callback)) {}

 protected:
  void incomingConnection(qintptr descriptor) override {
    // A QSslSocket loads the TLS libraries, which take memory, so plain-text connections use a
    // QTcpSocket.
    std::unique_ptr<QTcpSocket> socket(m_options.tls ? new QSslSocket : new QTcpSocket);
    if (!socket->setSocketDescriptor(descriptor)) return;
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (m_options.tls) {
      auto* encrypted = static_cast<QSslSocket*>(socket.get());
      encrypted->setSslConfiguration(*m_options.tls);
      encrypted->startServerEncryption();
    }
    m_socket_callback(*socket);
    addPendingConnection(socket.release());
  }

 private:
  const ServerOptions& m_options;
  SocketCallback m_socket_callback;
};

/// Starts a task for each connection and queues the requests that Qt has parsed for it.
class Server::Acceptor : public QAbstractHttpServer {
 public:
  explicit Acceptor(Server& server) : m_server(server) {}

  void Register(QTcpSocket& socket) {
    if (m_connections.size() >= m_server.m_options.limits.max_connections) {
      socket.abort();
      return;
    }
    auto connection = std::make_shared<Connection>(socket, m_server.m_options.limits);
    m_connections.emplace(&socket, connection);
    QObject::connect(&socket, &QObject::destroyed, this,
                     [this, key = &socket] { m_connections.erase(key); });
    m_server.m_tasks.Spawn(
        [this, connection]() -> QCoro::Task<void> { return m_server.ServeConnection(connection); });
  }

  void CloseInputs() {
    const auto connections = m_connections;
    for (const auto& [socket, connection] : connections) connection->CloseInput();
  }

 protected:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override {
    const auto found = m_connections.find(socket);
    if (found == m_connections.end()) return true;
    PendingRequest pending{
        .request = CopyRequest(request),
        .responder = std::make_unique<QHttpServerResponder>(makeResponder(request, socket))};
    pending.close_after = FindHeader(pending.request.headers, "Connection") == "close";
    if (found->second->Enqueue(std::move(pending))) {
      ++m_server.m_in_flight;
    } else {
      socket->disconnectFromHost();
    }
    return true;
  }

  void missingHandler(const QHttpServerRequest&, QTcpSocket* socket) override { socket->abort(); }

 private:
  Server& m_server;
  std::unordered_map<QObject*, std::shared_ptr<Connection>> m_connections;
};

Server::Server(TimerService& timers, ServerOptions options, Handler handler)
    : m_timers(timers), m_options(std::move(options)), m_handler(std::move(handler)) {}

Server::~Server() = default;

Ret Server::Listen() {
  m_acceptor = std::make_unique<Acceptor>(*this);
  m_listener =
      new Listener(m_options, [this](QTcpSocket& socket) { m_acceptor->Register(socket); });
  if (!m_listener->listen(m_options.address, m_options.port)) {
    const std::string reason = m_listener->errorString().toStdString();
    delete std::exchange(m_listener, nullptr);
    return {ErrorCode::kUnavailable, "cannot listen on " +
                                         m_options.address.toString().toStdString() + ":" +
                                         std::to_string(m_options.port) + ": " + reason};
  }
  m_acceptor->bind(m_listener);
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
  m_acceptor->CloseInputs();
  co_return co_await m_tasks.Join(m_timers, m_options.drain_timeout);
}

QCoro::Task<void> Server::ServeConnection(std::shared_ptr<Connection> connection) {
  while (auto pending = co_await connection->Next(m_timers, m_options.limits.idle_timeout)) {
    Response response;
    const std::optional<std::string> framing_error = FindFramingError(pending->request);
    if (framing_error) {
      response = MakeErrorResponse(400, "invalid_framing", *framing_error);
    } else {
      response = co_await m_handler(std::move(pending->request));
    }
    const bool close = pending->close_after || framing_error || m_stop.requested();
    connection->Write(*pending, response, close && (framing_error || connection->queued() == 0));
    --m_in_flight;
    if (framing_error) break;
  }
  connection->CloseInput();
  while (connection->queued() > 0) {
    co_await connection->Next(m_timers, Duration::zero());
    --m_in_flight;
  }
  connection->Disconnect();
}

}  // namespace citronferry::http
