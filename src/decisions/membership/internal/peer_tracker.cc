#include "decisions/membership/peer_tracker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronferry::membership {
namespace {

// Earlier incarnations that are remembered for each peer. Messages and roster rows of still earlier
// ones are no longer in transit.
constexpr size_t kMaxRetired = 8;

}  // namespace

std::vector<PeerAction> PeerTracker::Handle(const PeerEvent& event, TimePoint now) {
  using Handler = void (PeerTracker::*)(const PeerEvent&);
  // In the order of the alternatives of PeerEvent.
  static constexpr std::array<Handler, std::variant_size_v<PeerEvent>> kHandlers{
      &PeerTracker::OnPeersChanged, &PeerTracker::OnMessageReceived, &PeerTracker::OnTick};
  m_now = now;
  (this->*kHandlers[event.index()])(event);
  return std::exchange(m_actions, {});
}

bool PeerTracker::alive(const EntryId& entry) const {
  const auto peer = m_peers.find(entry);
  return peer != m_peers.end() && peer->second.alive;
}

size_t PeerTracker::alive_count() const {
  return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(),
                                           [](const auto& item) { return item.second.alive; }));
}

void PeerTracker::OnPeersChanged(const PeerEvent& event) {
  const auto& listed = std::get<PeersChanged>(event).peers;
  std::erase_if(m_peers, [&](const auto& item) {
    return std::none_of(listed.begin(), listed.end(),
                        [&](const PeerIdentity& identity) { return identity.entry == item.first; });
  });
  for (const PeerIdentity& identity : listed) {
    const auto [item, inserted] = m_peers.try_emplace(identity.entry);
    if (inserted) item->second.connection_last_heard = m_now;
    // The roster lags behind messages, so it may still name an earlier incarnation.
    UpdateIncarnation(identity.entry, item->second, identity.incarnation);
  }
}

void PeerTracker::OnMessageReceived(const PeerEvent& event) {
  const auto& message = std::get<MessageReceived>(event);
  const auto item = m_peers.find(message.entry);
  if (item == m_peers.end()) return;
  Peer& peer = item->second;
  UpdateIncarnation(message.entry, peer, message.incarnation);
  if (peer.incarnation != message.incarnation) {
    m_actions.push_back(IgnoreMessage{message.entry});
    return;
  }
  peer.last_heard = m_now;
  if (message.own_connection) peer.connection_last_heard = m_now;
  if (!std::exchange(peer.alive, true)) m_actions.push_back(PeerBecameAlive{message.entry});
}

void PeerTracker::OnTick(const PeerEvent&) {
  for (auto& [entry, peer] : m_peers) {
    if (peer.alive && m_now - *peer.last_heard >= kSuspectAfter) {
      peer.alive = false;
      m_actions.push_back(PeerBecameSuspect{entry});
    }
    if (m_now - peer.connection_last_heard >= kSuspectAfter) {
      peer.connection_last_heard = m_now;
      m_actions.push_back(ReplaceConnection{entry});
    }
  }
}

void PeerTracker::UpdateIncarnation(const EntryId& entry, Peer& peer,
                                    const std::string& incarnation) {
  if (peer.incarnation == incarnation) return;
  if (std::find(peer.retired.begin(), peer.retired.end(), incarnation) != peer.retired.end()) {
    return;
  }
  if (!peer.incarnation.empty()) {
    peer.retired.push_back(peer.incarnation);
    if (peer.retired.size() > kMaxRetired) peer.retired.pop_front();
    m_actions.push_back(PeerRestarted{entry});
  }
  peer.incarnation = incarnation;
}

}  // namespace citronferry::membership
