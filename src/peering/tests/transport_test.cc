#include "peering/transport.h"

#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <list>
#include <zmq.hpp>

#include "decisions/membership/peer_tracker.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::peering {
namespace {

/// An entry that responds to a Hello with a heartbeat and records the messages that it receives.
class Node {
 public:
  explicit Node(std::string id, std::optional<PeerKeys> keys = {}) : m_id(std::move(id)) {
    TestApplication();
    m_transport = std::make_unique<Transport>(
        TransportOptions{.self = EntryId(m_id),
                         .incarnation = "1",
                         .address = "127.0.0.1",
                         .keys = std::move(keys),
                         // Longer than any test, so that ZeroMQ itself closes no connection.
                         .heartbeat = 1h},
        metrics, [this](ReceivedMessage message) {
          if (std::holds_alternative<Hello>(message.envelope.message)) {
            m_transport->Reply(message.route, Heartbeat{.free_slots = 5});
          }
          received.push_back(std::move(message));
        });
    EXPECT_TRUE(m_transport->Listen().ok());
  }

  Transport& transport() { return *m_transport; }
  PeerAddress address() const { return AddressAtPort(m_transport->port()); }
  PeerAddress AddressAtPort(uint16_t port) const {
    return {.id = EntryId(m_id),
            .address = "127.0.0.1:" + std::to_string(port),
            .public_key = m_transport->public_key()};
  }
  /// @return the number of received messages of type T.
  template <typename T>
  size_t Count() const {
    return static_cast<size_t>(std::count_if(received.begin(), received.end(), [](const auto& r) {
      return std::holds_alternative<T>(r.envelope.message);
    }));
  }

  Metrics metrics;
  std::vector<ReceivedMessage> received;

 private:
  std::string m_id;
  std::unique_ptr<Transport> m_transport;
};

/// Repeats a send until it succeeds, since the connection is opened in the background.
bool SendWhenOpen(Connection& connection, const Message& message) {
  return ProcessEventsUntil([&] { return connection.Send(message); });
}

/// TCP forwarder that can silently drop the data of its existing connections, like a middlebox that
/// has lost its state.
class Middlebox {
 public:
  explicit Middlebox(uint16_t target) {
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this, target] {
      QTcpSocket* from = m_server.nextPendingConnection();
      auto* to = new QTcpSocket(from);
      to->connectToHost(QHostAddress::LocalHost, target);
      Forward(*from, *to);
      Forward(*to, *from);
    });
  }
  uint16_t port() const { return m_server.serverPort(); }
  void ForgetConnections() { ++m_generation; }

 private:
  void Forward(QTcpSocket& from, QTcpSocket& to) {
    QObject::connect(&from, &QTcpSocket::readyRead, &to,
                     [this, &from, &to, generation = m_generation] {
                       const QByteArray data = from.readAll();
                       if (generation == m_generation) to.write(data);
                     });
  }

  QTcpServer m_server;
  int m_generation = 0;
};

// A send clears the edge-triggered readiness of ZMQ_FD, so that a message which arrived before it
// stays unread.
TEST(TransportTest, SendBeforeTheWakeUpLosesNoMessage) {
  Node a("a");
  Node b("b");
  const auto connection = a.transport().Connect(b.address());
  ASSERT_TRUE(SendWhenOpen(*connection, Hello{}));
  ASSERT_TRUE(ProcessEventsUntil([&] { return a.Count<Heartbeat>() == 1; }));
  for (size_t round = 2; round <= 20; ++round) {
    ASSERT_TRUE(connection->Send(Hello{}));
    ASSERT_TRUE(ProcessEventsUntil([&] { return b.Count<Hello>() == round; }));
    // The response reaches the socket of a while a's event loop is blocked.
    QThread::msleep(5);
    ASSERT_TRUE(connection->Send(Heartbeat{}));
    ASSERT_TRUE(ProcessEventsUntil([&] { return a.Count<Heartbeat>() == round; }))
        << a.Count<Heartbeat>() << " of " << round << " responses";
  }
}

// When many messages arrive between two wake-ups of the event loop, each must be read.
TEST(TransportTest, EveryMessageOfABurstArrives) {
  Node a("a");
  Node b("b");
  const auto connection = a.transport().Connect(b.address());
  ASSERT_TRUE(SendWhenOpen(*connection, Hello{}));
  size_t sent = 1;
  for (int round = 0; round < 50; ++round) {
    for (int i = 0; i < 20; ++i) sent += connection->Send(Hello{}) ? 1 : 0;
    ASSERT_TRUE(ProcessEventsUntil([&] { return a.Count<Heartbeat>() == sent; }))
        << a.Count<Heartbeat>() << " of " << sent << " responses";
  }
  EXPECT_EQ(b.Count<Hello>(), sent);
  EXPECT_GT(sent, 500u);
}

// A middlebox that loses its state drops all further data of a connection without closing it, while
// a new connection works.
TEST(TransportTest, SilentConnectionIsReplaced) {
  Node a("a");
  Node b("b");
  Middlebox middlebox(b.transport().port());
  TimePoint now{10s};
  membership::PeerTracker tracker;
  tracker.Handle(membership::PeersChanged{{{.entry = EntryId("b"), .incarnation = "1"}}}, now);
  auto connection = a.transport().Connect(b.AddressAtPort(middlebox.port()));
  ASSERT_TRUE(SendWhenOpen(*connection, Hello{}));
  ASSERT_TRUE(ProcessEventsUntil([&] { return a.Count<Heartbeat>() == 1; }));

  middlebox.ForgetConnections();
  int replaced = 0;
  const bool answered = ProcessEventsUntil([&] {
    // Each iteration advances the virtual time by a second.
    now += 1s;
    for (const auto& action : tracker.Handle(membership::PeerTick{}, now)) {
      if (!std::holds_alternative<membership::ReplaceConnection>(action)) continue;
      connection = a.transport().Connect(b.AddressAtPort(middlebox.port()));
      ++replaced;
      SendWhenOpen(*connection, Hello{});
    }
    if (replaced == 0) connection->Send(Heartbeat{});
    return a.Count<Heartbeat>() > 1;
  });
  EXPECT_TRUE(answered) << "no response after the connection stopped forwarding";
  EXPECT_GT(replaced, 0);
}

// A peer with an unknown key must not connect, and a peer with an accepted key must not send in the
// name of another entry.
TEST(TransportTest, UnknownKeysAndForgedSendersAreRefused) {
  Node b("b", GenerateKeys());
  Node a("a", GenerateKeys());
  Node unknown_peer("a", GenerateKeys());
  b.transport().AcceptKeys({{EntryId("a"), a.transport().public_key()}});

  const auto refused = unknown_peer.transport().Connect(b.address());
  const std::string counter = "citronferry_peer_refused_connections_total ";
  ASSERT_TRUE(ProcessEventsUntil([&] {
    refused->Send(Hello{});
    const std::string text = b.metrics.Render();
    return text.find(counter) != std::string::npos && text.find(counter + "0") == std::string::npos;
  }));
  EXPECT_TRUE(b.received.empty());

  const auto accepted = a.transport().Connect(b.address());
  ASSERT_TRUE(SendWhenOpen(*accepted, Hello{}));
  EXPECT_TRUE(ProcessEventsUntil([&] { return a.Count<Heartbeat>() == 1; }));

  b.transport().AcceptKeys({{EntryId("a"), a.transport().public_key()},
                            {EntryId("c"), unknown_peer.transport().public_key()}});
  const auto forged = unknown_peer.transport().Connect(b.address());
  ASSERT_TRUE(SendWhenOpen(*forged, Hello{}));
  EXPECT_TRUE(ProcessEventsUntil([&] {
    return b.metrics.Render().find("dropped_messages_total{reason=\"sender\"} 1") !=
           std::string::npos;
  }));
  EXPECT_EQ(b.Count<Hello>(), 1u);
}

// A malformed message must neither stop the listener nor reach the receiver.
TEST(TransportTest, MalformedMessagesAreCountedAndDropped) {
  Node b("b");
  zmq::context_t context(1);
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.connect("tcp://" + b.address().address);
  socket.send(zmq::str_buffer("no protobuf"), zmq::send_flags::none);
  socket.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
  socket.send(zmq::str_buffer("frames"), zmq::send_flags::none);
  EXPECT_TRUE(ProcessEventsUntil([&] {
    return b.metrics.Render().find("dropped_messages_total{reason=\"malformed\"} 2") !=
           std::string::npos;
  }));
  EXPECT_TRUE(b.received.empty());
}

// Without keys peers are not authenticated, which is allowed on loopback only, for tests.
TEST(TransportTest, AddressesOtherThanLoopbackNeedKeys) {
  TestApplication();
  Metrics metrics;
  Transport transport({.self = EntryId("a"), .incarnation = "1", .address = "192.0.2.1"}, metrics,
                      [](const ReceivedMessage&) {});
  EXPECT_EQ(transport.Listen().code(), ErrorCode::kInvalidArgument);
}

// A connection that never completes the handshake must not hold memory and a descriptor for long.
TEST(TransportTest, ConnectionWithoutHandshakeIsClosed) {
  Node listener("listener", GenerateKeys());
  QTcpSocket stranger;
  stranger.connectToHost(QHostAddress(QHostAddress::LocalHost), listener.transport().port());
  EXPECT_TRUE(
      ProcessEventsUntil([&] { return stranger.state() == QAbstractSocket::ConnectedState; }));
  stranger.write(QByteArray::fromHex("ff00000000000000017f"));  // Start of the ZMTP greeting.
  EXPECT_TRUE(
      ProcessEventsUntil([&] { return stranger.state() == QAbstractSocket::UnconnectedState; }));
}

}  // namespace
}  // namespace citronferry::peering
