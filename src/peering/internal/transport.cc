#include "peering/transport.h"

#include <QHostAddress>
#include <array>

#include "peering/internal/authenticator.h"
#include "peering/internal/codec.h"
#include "peering/internal/event_socket.h"
#include "telemetry/log.h"

namespace citronferry::peering {
namespace {

// Messages queued for one connection. Only documents are large, and they are rare.
constexpr int kHighWaterMark = 64;
constexpr int kListenerHighWaterMark = 1024;
// ZeroMQ keeps a connection that does not authenticate itself for 30 s by default, with up to one
// message of the largest size.
constexpr Duration kHandshakeTimeout = 5s;
// Receive buffer of the kernel for each accepted connection, which doubles it.
constexpr int kReceiveBufferBytes = 64 * 1024;
constexpr char kDomain[] = "citronferry";

}  // namespace

class Transport::Internal {
 public:
  Internal(TransportOptions options, Metrics& metrics, Receiver receiver)
      : m_options(std::move(options)),
        m_receiver(std::move(receiver)),
        m_context(1),
        m_sent(metrics.Counter("citronferry_peer_sent_bytes_total",
                               "Bytes of messages handed to the peer connections.")),
        m_received(metrics.Counter("citronferry_peer_received_bytes_total",
                                   "Bytes of messages received from peers.")),
        m_unsent(metrics.Counter("citronferry_peer_unsent_messages_total",
                                 "Messages dropped because a peer could not take them.")),
        m_malformed(metrics.Counter("citronferry_peer_dropped_messages_total",
                                    "Messages from peers that were dropped, by reason.",
                                    {{"reason", "malformed"}})),
        m_wrong_sender(metrics.Counter("citronferry_peer_dropped_messages_total",
                                       "Messages from peers that were dropped, by reason.",
                                       {{"reason", "sender"}})) {
    if (m_options.keys) {
      m_authenticator = std::make_unique<Authenticator>(
          m_context, metrics.Counter("citronferry_peer_refused_connections_total",
                                     "Connections refused because of an unknown key."));
      AcceptKeys({});
    }
  }

  Ret Listen() {
    const QHostAddress address(QString::fromStdString(m_options.address));
    if (!m_options.keys && !address.isLoopback()) {
      return {ErrorCode::kInvalidArgument,
              "peer_key_file is required unless peer_listener is a loopback address"};
    }
    auto listener = std::make_unique<EventSocket>(
        m_context, zmq::socket_type::router, [this](Frames frames) { OnListenerMessage(frames); });
    zmq::socket_t& socket = listener->socket();
    ApplyOptions(socket, kListenerHighWaterMark);
    socket.set(zmq::sockopt::router_mandatory, true);
    socket.set(zmq::sockopt::handshake_ivl, static_cast<int>(ToMilliseconds(kHandshakeTimeout)));
    socket.set(zmq::sockopt::rcvbuf, kReceiveBufferBytes);
    if (m_options.keys) {
      socket.set(zmq::sockopt::curve_server, true);
      socket.set(zmq::sockopt::curve_secretkey, m_options.keys->secret_key);
      socket.set(zmq::sockopt::zap_domain, kDomain);
    }
    try {
      socket.bind("tcp://" + BracketIpv6(m_options.address) + ":" +
                  (m_options.port == 0 ? "*" : std::to_string(m_options.port)));
    } catch (const zmq::error_t& error) {
      return {ErrorCode::kUnavailable, "cannot listen for peers on " + m_options.address + ":" +
                                           std::to_string(m_options.port) + ": " + error.what()};
    }
    listener->Start();
    m_listener = std::move(listener);
    return MakeOk();
  }

  uint16_t port() const {
    if (!m_listener) return 0;
    const std::string endpoint = m_listener->socket().get(zmq::sockopt::last_endpoint);
    return static_cast<uint16_t>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
  }

  std::string public_key() const { return m_options.keys ? m_options.keys->public_key : ""; }

  void AcceptKeys(const std::map<EntryId, std::string>& keys) {
    if (!m_authenticator) return;
    std::map<std::string, std::string> names;
    for (const std::string& key : m_options.keys->trusted_keys) names.emplace(key, "");
    for (const auto& [entry, key] : keys) names.insert_or_assign(key, entry.str());
    m_authenticator->SetKeys(std::move(names));
  }

  std::unique_ptr<EventSocket> Connect(const PeerAddress& peer) {
    auto connection = std::make_unique<EventSocket>(
        m_context, zmq::socket_type::dealer,
        [this, id = peer.id](Frames frames) { OnConnectionMessage(id, frames); });
    zmq::socket_t& socket = connection->socket();
    ApplyOptions(socket, kHighWaterMark);
    socket.set(zmq::sockopt::immediate, true);
    try {
      if (m_options.keys) {
        socket.set(zmq::sockopt::curve_serverkey, peer.public_key);
        socket.set(zmq::sockopt::curve_publickey, m_options.keys->public_key);
        socket.set(zmq::sockopt::curve_secretkey, m_options.keys->secret_key);
      }
      socket.connect("tcp://" + peer.address);
    } catch (const zmq::error_t& error) {
      Log(LogLevel::kError, "peer_address_invalid",
          {{"peer", peer.id.view()}, {"address", peer.address}, {"error", error.what()}});
      return nullptr;
    }
    connection->Start();
    return connection;
  }

  bool Reply(const std::string& route, const Message& message) {
    const std::string bytes = EncodeFromSelf(message);
    const std::array<std::string_view, 2> frames{route, bytes};
    return m_listener && CountSent(m_listener->Send(frames), bytes.size());
  }

  bool Send(EventSocket& connection, const Message& message) {
    const std::string bytes = EncodeFromSelf(message);
    const std::array<std::string_view, 1> frames{bytes};
    return CountSent(connection.Send(frames), bytes.size());
  }

 private:
  static std::string BracketIpv6(const std::string& address) {
    return address.find(':') == std::string::npos ? address : "[" + address + "]";
  }

  void ApplyOptions(zmq::socket_t& socket, int high_water_mark) const {
    const int heartbeat = static_cast<int>(ToMilliseconds(m_options.heartbeat));
    socket.set(zmq::sockopt::sndhwm, high_water_mark);
    socket.set(zmq::sockopt::rcvhwm, high_water_mark);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxMessageBytes));
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat);
    socket.set(zmq::sockopt::heartbeat_timeout, 3 * heartbeat);
    socket.set(zmq::sockopt::ipv6, m_options.address.find(':') != std::string::npos);
  }

  std::string EncodeFromSelf(const Message& message) const {
    return Encode(
        {.sender = m_options.self, .incarnation = m_options.incarnation, .message = message});
  }

  bool CountSent(bool sent, size_t bytes) {
    if (sent) {
      m_sent.Increment(static_cast<double>(bytes));
    } else {
      m_unsent.Increment();
    }
    return sent;
  }

  void OnListenerMessage(Frames& frames) {
    if (frames.size() != 2) {
      m_malformed.Increment();
      return;
    }
    const char* user = nullptr;
    try {
      if (m_options.keys) user = frames[1].gets("User-Id");
    } catch (const zmq::error_t&) {
      user = nullptr;
    }
    const std::string_view sender = user ? user : "";
    Deliver(frames[1], sender, frames[0].to_string());
  }

  void OnConnectionMessage(const EntryId& peer, Frames& frames) {
    if (frames.size() != 1) {
      m_malformed.Increment();
      return;
    }
    Deliver(frames[0], peer.view(), {});
  }

  /// Decodes a message and passes it to the receiver.
  /// @param authenticated entry that the sender must be; empty accepts any.
  void Deliver(const zmq::message_t& frame, std::string_view authenticated, std::string route) {
    m_received.Increment(static_cast<double>(frame.size()));
    auto envelope = Decode(frame.to_string_view());
    if (!envelope) {
      m_malformed.Increment();
      return;
    }
    if (!authenticated.empty() && envelope->sender.view() != authenticated) {
      m_wrong_sender.Increment();
      return;
    }
    m_receiver({.envelope = std::move(*envelope), .route = std::move(route)});
  }

  TransportOptions m_options;
  Receiver m_receiver;
  zmq::context_t m_context;
  prometheus::Counter& m_sent;
  prometheus::Counter& m_received;
  prometheus::Counter& m_unsent;
  prometheus::Counter& m_malformed;
  prometheus::Counter& m_wrong_sender;
  std::unique_ptr<Authenticator> m_authenticator;
  std::unique_ptr<EventSocket> m_listener;
};

Transport::Transport(TransportOptions options, Metrics& metrics, Receiver receiver)
    : m_internal(std::make_unique<Internal>(std::move(options), metrics, std::move(receiver))) {}

Transport::~Transport() = default;

Ret Transport::Listen() { return m_internal->Listen(); }

uint16_t Transport::port() const { return m_internal->port(); }

std::string Transport::public_key() const { return m_internal->public_key(); }

void Transport::AcceptKeys(const std::map<EntryId, std::string>& keys) {
  m_internal->AcceptKeys(keys);
}

std::unique_ptr<Connection> Transport::Connect(const PeerAddress& peer) {
  class DealerConnection : public Connection {
   public:
    DealerConnection(Internal& internal, std::unique_ptr<EventSocket> socket)
        : m_internal(internal), m_socket(std::move(socket)) {}
    bool Send(const Message& message) override { return m_internal.Send(*m_socket, message); }

   private:
    Internal& m_internal;
    std::unique_ptr<EventSocket> m_socket;
  };
  auto socket = m_internal->Connect(peer);
  if (!socket) return nullptr;
  return std::make_unique<DealerConnection>(*m_internal, std::move(socket));
}

bool Transport::Reply(const std::string& route, const Message& message) {
  return m_internal->Reply(route, message);
}

}  // namespace citronferry::peering
