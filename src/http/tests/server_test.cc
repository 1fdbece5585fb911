#include "http/server.h"

#include <gtest/gtest.h>

#include <QTcpSocket>
#include <map>

#include "supervision/testing/event_loop.h"

namespace citronferry::http {
namespace {

class ServerTest : public ::testing::Test {
 protected:
  ServerTest() { TestApplication(); }

  void Start(Handler handler, ServerLimits limits = {}) {
    m_server = std::make_unique<Server>(
        *m_timers,
        ServerOptions{.address = QHostAddress(QHostAddress::LocalHost), .limits = limits},
        std::move(handler));
    ASSERT_TRUE(m_server->Listen().ok());
    m_tasks.Spawn([this]() -> QCoro::Task<void> { m_stopped = co_await m_server->Run(); });
  }
  void TearDown() override {
    m_server->Stop();
    EXPECT_TRUE(ProcessEventsUntil([&] { return m_tasks.running() == 0; }));
  }
  std::unique_ptr<QTcpSocket> Connect() {
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress(QHostAddress::LocalHost), m_server->port());
    EXPECT_TRUE(
        ProcessEventsUntil([&] { return socket->state() == QAbstractSocket::ConnectedState; }));
    return socket;
  }
  QByteArray ReadUntil(QTcpSocket& socket, const QByteArray& text) {
    QByteArray received;
    EXPECT_TRUE(ProcessEventsUntil([&] {
      received += socket.readAll();
      return received.contains(text) || socket.state() == QAbstractSocket::UnconnectedState;
    }));
    return received;
  }

  std::unique_ptr<TimerService> m_timers = MakeQtTimerService();
  TaskScope m_tasks;
  std::optional<Ret> m_stopped;
  std::unique_ptr<Server> m_server;
};

QCoro::Task<Response> Echo(Request request) {
  co_return Response{.body = QByteArray::fromStdString(request.path) + request.body};
}

// QAbstractHttpServer sends the responses to pipelined requests in the order in which they finish,
// so that a client takes one response for another.
TEST_F(ServerTest, PipelinedRequestsAreAnsweredInTheirOrder) {
  Start([this](Request request) -> QCoro::Task<Response> {
    if (request.path == "/slow") co_await SleepFor(*m_timers, 50ms);
    co_return Response{.body = QByteArray::fromStdString(request.path)};
  });
  const auto socket = Connect();
  socket->write("GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /fast HTTP/1.1\r\nHost: x\r\n\r\n");
  const QByteArray received = ReadUntil(*socket, "/fast");
  EXPECT_GE(received.indexOf("/slow"), 0);
  EXPECT_LT(received.indexOf("/slow"), received.indexOf("/fast"));
}

// A response that is ready after the caller has disconnected must not be written to the destroyed
// socket.
TEST_F(ServerTest, DisconnectBeforeTheResponseIsSignalledToTheHandler) {
  bool abandoned = false;
  bool answered = false;
  Start([&](Request request) -> QCoro::Task<Response> {
    Mailbox<int> gone;
    Subscription subscription = request.abandoned->Subscribe([&] { gone.Close(); });
    co_await gone.Next();
    abandoned = true;
    co_await SleepFor(*m_timers, 20ms);
    answered = true;
    co_return Response{.body = "late"};
  });
  auto socket = Connect();
  socket->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_server->in_flight() == 1; }));
  socket.reset();
  EXPECT_TRUE(ProcessEventsUntil([&] { return answered && m_server->in_flight() == 0; }));
  EXPECT_TRUE(abandoned);
}

// QAbstractHttpServer buffers a body of any size, so that one request could exhaust the memory of
// an entry instance.
TEST_F(ServerTest, BodyOverTheLimitIsRejected) {
  Start(Echo, {.max_header_bytes = 1024, .max_body_bytes = 4096});
  const auto socket = Connect();
  socket->write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n");
  socket->write(QByteArray(1000000, 'a'));
  EXPECT_TRUE(ReadUntil(*socket, "\r\n\r\n").startsWith("HTTP/1.1 413"));
}

// The limit must not reject a body of exactly the permitted size.
TEST_F(ServerTest, BodyAtTheLimitIsAccepted) {
  Start(Echo, {.max_header_bytes = 1024, .max_body_bytes = 300000});
  const auto socket = Connect();
  socket->write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n");
  socket->write(QByteArray(300000, 'a'));
  EXPECT_TRUE(ReadUntil(*socket, "/xaaa").startsWith("HTTP/1.1 200"));
}

// QAbstractHttpServer buffers a header block of any size.
TEST_F(ServerTest, HeaderOverTheLimitIsRejected) {
  Start(Echo, {.max_header_bytes = 1024, .max_body_bytes = 4096});
  const auto socket = Connect();
  socket->write("GET /x HTTP/1.1\r\nHost: x\r\nX-Long: " + QByteArray(3000, 'a'));
  EXPECT_TRUE(ReadUntil(*socket, "\r\n\r\n").startsWith("HTTP/1.1 431"));
}

// With two body lengths a load balancer and the server can disagree on where a request ends, which
// permits request smuggling.
TEST_F(ServerTest, ContentLengthWithTransferEncodingIsRefused) {
  int handled = 0;
  Start([&](Request request) -> QCoro::Task<Response> {
    ++handled;
    return Echo(std::move(request));
  });
  const auto socket = Connect();
  socket->write(
      "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
  const QByteArray received = ReadUntil(*socket, "invalid_framing");
  EXPECT_TRUE(received.isEmpty() || received.startsWith("HTTP/1.1 400")) << received.toStdString();
  EXPECT_TRUE(
      ProcessEventsUntil([&] { return socket->state() == QAbstractSocket::UnconnectedState; }));
  EXPECT_EQ(handled, 0);
}

// A graceful shutdown must not abort a request in flight.
TEST_F(ServerTest, StopWaitsForRequestsInFlight) {
  Start([this](Request request) -> QCoro::Task<Response> {
    co_await SleepFor(*m_timers, 50ms);
    co_return Response{.body = QByteArray::fromStdString(request.path)};
  });
  const auto socket = Connect();
  socket->write("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_server->in_flight() == 1; }));
  m_server->Stop();
  EXPECT_TRUE(ReadUntil(*socket, "/slow").contains("/slow"));
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_stopped.has_value(); }));
  EXPECT_TRUE(m_stopped->ok());
}

}  // namespace
}  // namespace citronferry::http
