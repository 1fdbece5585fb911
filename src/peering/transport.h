#ifndef CITRONFERRY_PEERING_TRANSPORT_H_
#define CITRONFERRY_PEERING_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/ret.h"
#include "base/time.h"
#include "peering/keys.h"
#include "peering/messages.h"
#include "telemetry/metrics.h"

namespace citronferry::peering {

struct TransportOptions {
  EntryId self;                  ///< Sender of all messages.
  std::string incarnation;       ///< Identifies this process.
  std::string address;           ///< IP address of the listener.
  uint16_t port = 0;             ///< 0 lets the kernel choose a free port.
  std::optional<PeerKeys> keys;  ///< Without keys, peers are not authenticated.
  Duration heartbeat = 1s;       ///< Interval of ZeroMQ's own heartbeats (ZMTP PING).
};

struct PeerAddress {
  EntryId id;
  std::string address;     ///< IP address and port of the peer's listener.
  std::string public_key;  ///< In Z85; required when this entry has keys.
};

/// A message with the connection to reply on.
struct ReceivedMessage {
  Envelope envelope;
  /// ZeroMQ routing id of the listener's connection; empty if this entry opened the connection.
  std::string route;
};

/// Connection from this entry to the listener of a peer. Messages that cannot be sent at once are
/// dropped, so that a restarted peer never receives messages that were queued for its previous
/// process.
class Connection {
 public:
  virtual ~Connection() = default;
  /// @return false when the message was dropped.
  virtual bool Send(const Message& message) = 0;
};

/// Exchanges messages between entries over ZeroMQ. All calls and callbacks run on the event loop's
/// thread.
class Transport {
 public:
  using Receiver = std::function<void(ReceivedMessage)>;

  /// @param receiver called for each valid message, of the listener and of all connections.
  Transport(TransportOptions options, Metrics& metrics, Receiver receiver);
  ~Transport();

  /// Binds the listener.
  /// @return kUnavailable when the address cannot be bound; kInvalidArgument for an address other
  ///   than loopback without keys.
  Ret Listen();
  /// @return the bound port, after Listen.
  uint16_t port() const;
  /// @return this entry's public key in Z85; empty without keys.
  std::string public_key() const;

  /// Replaces the keys that the listener accepts in addition to the trusted ones.
  /// @param keys entry -> public key in Z85.
  void AcceptKeys(const std::map<EntryId, std::string>& keys);

  /// Opens a connection in the background; it reconnects automatically.
  /// @return nothing when the address or the key is not valid.
  std::unique_ptr<Connection> Connect(const PeerAddress& peer);
  /// Sends a message on a connection of the listener.
  /// @param route of a received message.
  /// @return false when the message was dropped.
  bool Reply(const std::string& route, const Message& message);

 private:
  class Internal;
  std::unique_ptr<Internal> m_internal;
};

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_TRANSPORT_H_
