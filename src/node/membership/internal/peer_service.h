#ifndef CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_PEER_SERVICE_H_
#define CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_PEER_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "decisions/membership/peer_tracker.h"
#include "decisions/membership/slot_loans.h"
#include "node/node_context.h"
#include "peering/transport.h"
#include "supervision/supervisor.h"
#include "supervision/task_scope.h"

namespace citronferry::node {

/// Where peers reach this entry, and its key.
struct PeerEndpoint {
  std::string address;     ///< IP address and port.
  std::string public_key;  ///< CURVE key in Z85; empty without authentication.
};

/// Exchanges heartbeats, configurations and slot loans with the other entries. Each peer has a task
/// of its own.
class PeerService : public Service {
 public:
  /// @param endpoint filled in by Run before its first suspension.
  PeerService(NodeContext& context, std::shared_ptr<PeerEndpoint> endpoint);
  ~PeerService() override;

  /// @return success after Stop, otherwise why the listener could not be opened.
  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

 private:
  /// A peer that this entry sends heartbeats to.
  struct Peer {
    peering::PeerAddress address;
    std::unique_ptr<peering::Connection> connection;
    Mailbox<peering::ReceivedMessage> inbox;
  };
  /// A document request that waits for replies.
  struct DocumentFetch {
    std::string digest;
    Mailbox<peering::DocumentReply> replies;
  };

  Ret Open();
  void OnReceived(peering::ReceivedMessage received);
  void OnRosterChanged(const RosterView& roster);
  void OnTick();
  void AnnounceConfiguration();

  QCoro::Task<void> RunPeer(std::shared_ptr<Peer> peer);
  QCoro::Task<void> RunUnknownSenders();
  QCoro::Task<RetVal<std::string>> FetchDocument(std::string digest, EntryId first);

  void StartPeer(const peering::PeerAddress& address);
  void StopPeer(const EntryId& entry);
  void Connect(Peer& peer);

  void HandleMessage(const peering::ReceivedMessage& received);
  void OnHello(const peering::ReceivedMessage& received);
  void OnHeartbeat(const peering::ReceivedMessage& received);
  void OnConfigAnnounce(const peering::ReceivedMessage& received);
  void OnDocumentRequest(const peering::ReceivedMessage& received);
  void OnDocumentReply(const peering::ReceivedMessage& received);
  void OnSlotRequest(const peering::ReceivedMessage& received);
  void OnSlotGrant(const peering::ReceivedMessage& received);
  void OnSlotReturn(const peering::ReceivedMessage& received);
  void OnUnexpected(const peering::ReceivedMessage& received);
  void OnPeerConfiguration(const EntryId& peer, uint64_t version, const std::string& digest);

  /// @return whether a received message is to be processed; false if it comes from a process that a
  ///   newer one has replaced.
  bool HandlePeerEvent(const membership::PeerEvent& event);
  void HandleLoanEvent(const membership::LoanEvent& event);
  bool NeedsLoad(const membership::LoanEvent& event) const;

  peering::Heartbeat MakeHeartbeat();
  /// @return the number of slots offered to borrowers, computed at most once per heartbeat period.
  int LendableSlots();
  /// Sends a reply on the connection that a message came from.
  void Reply(const peering::ReceivedMessage& received, const peering::Message& message);
  /// Sends on the own connection to an entry or else on the one that its last message came from.
  /// @return false when the message was dropped.
  bool SendTo(const EntryId& entry, const peering::Message& message);

  NodeContext& m_context;
  std::shared_ptr<PeerEndpoint> m_endpoint;
  prometheus::Gauge& m_alive_peers;
  prometheus::Counter& m_replaced_connections;
  prometheus::Counter& m_dropped_messages;
  membership::PeerTracker m_tracker;
  int m_lendable_slots = 0;
  std::optional<TimePoint> m_lendable_slots_at;
  membership::SlotLoans m_loans;
  std::unique_ptr<peering::Transport> m_transport;
  std::map<EntryId, std::shared_ptr<Peer>> m_peers;
  std::map<EntryId, std::string> m_routes;  // Connection of the last message from each sender.
  Mailbox<peering::ReceivedMessage> m_unknown_senders;
  std::shared_ptr<DocumentFetch> m_fetch;
  StopSignal m_stop;
  TaskScope m_tasks;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_PEER_SERVICE_H_
