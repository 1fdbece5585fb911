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

/// Time without a message after which a peer is suspect: two heartbeats may be lost.
inline constexpr Duration kSuspectAfter = 3s;

// Events.

struct PeerIdentity {
  EntryId entry;
  std::string incarnation;
};
/// The other entries of the roster.
struct PeersChanged {
  std::vector<PeerIdentity> peers;
};
struct MessageReceived {
  EntryId entry;
  std::string incarnation;
  bool own_connection = false;  ///< Came over the connection that this entry opened.
};
struct PeerTick {};

using PeerEvent = std::variant<PeersChanged, MessageReceived, PeerTick>;

// Actions.

/// The message comes from a process that a newer one has replaced.
struct IgnoreMessage {
  EntryId entry;
};
/// Nothing was received on the own connection for so long that it may have gone silent for good.
struct ReplaceConnection {
  EntryId entry;
};
struct PeerBecameAlive {
  EntryId entry;
};
struct PeerBecameSuspect {
  EntryId entry;
};
/// The peer's memory is lost, including its loans.
struct PeerRestarted {
  EntryId entry;
};

using PeerAction = std::variant<IgnoreMessage, ReplaceConnection, PeerBecameAlive,
                                PeerBecameSuspect, PeerRestarted>;

/// Decides which peers are alive and which of their messages count.
class PeerTracker {
 public:
  std::vector<PeerAction> Handle(const PeerEvent& event, TimePoint now);

  bool alive(const EntryId& entry) const;
  size_t alive_count() const;

 private:
  struct Peer {
    std::string incarnation;
    std::deque<std::string> retired;  // Incarnations that were replaced.
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
