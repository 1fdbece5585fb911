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

/// How peers reach this entry.
struct PeerEndpoint {
  std::string address;
  std::string public_key;
};

/// Exchanges heartbeats, configurations and slot loans with the peers, with one task for each.
class PeerService : public Service {
 public:
  /// @param endpoint is set before the first suspension of Run.
  PeerService(NodeContext& context, std::shared_ptr<PeerEndpoint> endpoint);
  ~PeerService() override;

  /// @return why the listener could not be opened, or success after Stop.
  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

 private:
  struct Peer {
    peering::PeerAddress address;
    std::unique_ptr<peering::Connection> connection;
    Mailbox<peering::ReceivedMessage> inbox;
  };
  struct Fetch {
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
  void OnPeerConfiguration(const EntryId& peer, uint64_t version, const std::string& digest);

  /// @return whether the message that caused the event counts.
  bool HandlePeerEvent(const membership::PeerEvent& event);
  void HandleLoanEvent(const membership::LoanEvent& event);
  bool NeedsLoad(const membership::LoanEvent& event) const;

  peering::Heartbeat MakeHeartbeat();
  /// @return slots offered to borrowers, at most one heartbeat period old.
  int LendableSlots();
  void Answer(const peering::ReceivedMessage& received, const peering::Message& message);
  bool SendTo(const EntryId& entry, const peering::Message& message);

  NodeContext& m_context;
  std::shared_ptr<PeerEndpoint> m_endpoint;
  prometheus::Gauge& m_alive;
  prometheus::Counter& m_replaced;
  prometheus::Counter& m_overflow;
  membership::PeerTracker m_tracker;
  int m_lendable = 0;
  std::optional<TimePoint> m_lendable_at;
  membership::SlotLoans m_loans;
  std::unique_ptr<peering::Transport> m_transport;
  std::map<EntryId, std::shared_ptr<Peer>> m_peers;
  std::map<EntryId, std::string> m_routes;  // Of the last message that each sender sent to us.
  Mailbox<peering::ReceivedMessage> m_unknown_senders;
  std::shared_ptr<Fetch> m_fetch;
  StopSignal m_stop;
  TaskScope m_tasks;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_PEER_SERVICE_H_
