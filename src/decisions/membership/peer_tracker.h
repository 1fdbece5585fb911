#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_PEER_TRACKER_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_PEER_TRACKER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::membership {

/// Time without a message after which a peer is suspect. With a heartbeat each second, two may be
/// lost.
inline constexpr Duration kSuspectAfter = 3s;

// Events.

/// One run of the process of a peer.
struct PeerIdentity {
  EntryId entry;
  std::string incarnation;
};
/// The roster was read: all entries but this one.
struct PeersChanged {
  std::vector<PeerIdentity> peers;
};
/// A message of a peer arrived.
struct MessageReceived {
  EntryId entry;
  std::string incarnation;
  bool own_connection = false;  ///< Arrived on the connection that this entry opened.
};
/// Checks the timeouts.
struct PeerTick {};

using PeerEvent = std::variant<PeersChanged, MessageReceived, PeerTick>;

// Actions.

/// The message comes from an earlier incarnation of the peer and must be dropped.
struct IgnoreMessage {
  EntryId entry;
};
/// Nothing was received on the connection that this entry opened for kSuspectAfter, so it may be
/// broken.
struct ReplaceConnection {
  EntryId entry;
};
struct PeerBecameAlive {
  EntryId entry;
};
struct PeerBecameSuspect {
  EntryId entry;
};
/// The peer has a new incarnation and has lost its state, including its loans.
struct PeerRestarted {
  EntryId entry;
};

using PeerAction = std::variant<IgnoreMessage, ReplaceConnection, PeerBecameAlive,
                                PeerBecameSuspect, PeerRestarted>;

/// Failure detector for peers by message timeouts. It also decides which connections to replace and
/// which messages come from an earlier incarnation of a peer.
class PeerTracker {
 public:
  /// @param event what happened.
  /// @param now monotonic time; it must not decrease between calls.
  /// @return what the caller has to do, in this order.
  std::vector<PeerAction> Handle(const PeerEvent& event, TimePoint now);

  bool alive(const EntryId& entry) const;
  size_t alive_count() const;

 private:
  struct Peer {
    std::string incarnation;
    std::deque<std::string> retired;  // Earlier incarnations, oldest first.
    std::optional<TimePoint> last_heard;
    TimePoint connection_last_heard;
    bool alive = false;
  };

  void OnPeersChanged(const PeerEvent& event);
  void OnMessageReceived(const PeerEvent& event);
  void OnTick(const PeerEvent& event);
  void UpdateIncarnation(const EntryId& entry, Peer& peer, const std::string& incarnation);

  TimePoint m_now;
  std::map<EntryId, Peer> m_peers;
  std::vector<PeerAction> m_actions;
};

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_PEER_TRACKER_H_
