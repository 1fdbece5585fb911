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
  EntryId self;
  std::string incarnation;
  std::string address;           ///< IP address of the listener.
  uint16_t port = 0;             ///< 0 lets the kernel choose.
  std::optional<PeerKeys> keys;  ///< Without keys, peers are not authenticated.
  Duration heartbeat = 1s;       ///< Interval of the heartbeats of ZeroMQ itself.
};

struct PeerAddress {
  EntryId id;
  std::string address;     ///< IP address and port of the peer's listener.
  std::string public_key;  ///< In Z85; needed when this entry has keys.
};

/// Where a message came from.
struct ReceivedMessage {
  Envelope envelope;
  std::string route;  ///< Connection of the listener; empty for a connection of this entry.
};

/// Connection from this entry to the listener of a peer. Messages that can not be sent at once are
/// dropped, so that a peer never receives messages that were queued for its previous process.
class Connection {
 public:
  virtual ~Connection() = default;
  /// @return false when the message was dropped.
  virtual bool Send(const Message& message) = 0;
};

/// Messages between the entries. All calls and callbacks are on the event loop's thread.
class Transport {
 public:
  using Receiver = std::function<void(ReceivedMessage)>;

  Transport(TransportOptions options, Metrics& metrics, Receiver receiver);
  ~Transport();

  /// Binds the listener.
  /// @return kUnavailable when the address can not be bound; kInvalidArgument for an address other
  ///   than loopback without keys.
  Ret Listen();
  /// @return the bound port, after Listen.
  uint16_t port() const;
  /// @return this entry's public key in Z85; empty without keys.
  std::string public_key() const;

  /// Replaces the keys that the listener accepts.
  /// @param keys entry -> public key in Z85.
  void AcceptKeys(const std::map<EntryId, std::string>& keys);

  /// Opens a connection in the background; it reconnects by itself after a loss.
  /// @return nothing when the address or the key is not valid.
  std::unique_ptr<Connection> Connect(const PeerAddress& peer);
  /// Sends on the connection of the listener that a message came from.
  /// @return false when the message was dropped.
  bool Reply(const std::string& route, const Message& message);

 private:
  class Internal;
  std::unique_ptr<Internal> m_internal;
};

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_TRANSPORT_H_
