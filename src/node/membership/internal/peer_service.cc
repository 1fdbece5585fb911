#include "node/membership/internal/peer_service.h"

#include <sodium.h>

#include <algorithm>
#include <array>

#include "decisions/membership/slot_share.h"
#include "node/membership/internal/loan_messages.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr Duration kHeartbeatPeriod = 1s;
constexpr Duration kTickPeriod = 100ms;
// A new configuration has to be fetched within 4 s, which leaves time to ask several peers in turn.
constexpr Duration kFetchTimeout = 500ms;
constexpr size_t kMaxFetchPeers = 4;
constexpr Duration kJoinTimeout = 5s;
// Bound the memory that a peer can occupy by flooding this entry with messages.
constexpr size_t kMaxInboxMessages = 256;
constexpr size_t kMaxRoutes = 256;

uint64_t RandomInitialLoanNumber() {
  uint64_t number = 0;
  randombytes_buf(&number, sizeof(number));
  // Half of the range, so that the loan numbers counted up from here do not overflow.
  return number >> 1;
}

}  // namespace

PeerService::PeerService(NodeContext& context, std::shared_ptr<PeerEndpoint> endpoint)
    : m_context(context),
      m_endpoint(std::move(endpoint)),
      m_alive_peers(context.metrics.Gauge("citronferry_peers_alive", "Peers that answer.")),
      m_replaced_connections(
          context.metrics.Counter("citronferry_peer_replaced_connections_total",
                                  "Connections to peers replaced because of silence.")),
      m_dropped_messages(context.metrics.Counter(
          "citronferry_peer_dropped_messages_total",
          "Messages from peers that were dropped, by reason.", {{"reason", "overflow"}})),
      m_loans(RandomInitialLoanNumber()) {}

PeerService::~PeerService() = default;

Ret PeerService::Open() {
  const document::Settings& settings = m_context.settings;
  peering::TransportOptions options{.self = settings.id,
                                    .incarnation = m_context.incarnation,
                                    .address = settings.peer_listener.address,
                                    .port = settings.peer_listener.port};
  if (!settings.peer_key_file.empty()) {
    auto keys = peering::LoadKeyFile(settings.peer_key_file);
    if (!keys.ok()) return keys.ret();
    options.keys = std::move(keys).value();
  }
  m_transport = std::make_unique<peering::Transport>(
      std::move(options), m_context.metrics,
      [this](peering::ReceivedMessage received) { OnReceived(std::move(received)); });
  Ret listening = m_transport->Listen();
  if (!listening) return listening;
  const std::string& address = settings.peer_listener.address;
  const bool ipv6 = address.find(':') != std::string::npos;
  m_endpoint->address =
      (ipv6 ? "[" + address + "]" : address) + ":" + std::to_string(m_transport->port());
  m_endpoint->public_key = m_transport->public_key();
  return MakeOk();
}

QCoro::Task<Ret> PeerService::Run() {
  Ret opened = Open();
  if (!opened) co_return opened;
  std::vector<Subscription> subscriptions;
  subscriptions.push_back(
      m_context.roster.Subscribe([this](const RosterView& roster) { OnRosterChanged(roster); }));
  subscriptions.push_back(m_context.configuration.Subscribe(
      [this](const ActiveConfiguration&) { AnnounceConfiguration(); }));
  subscriptions.push_back(m_context.timers.Subscribe(kTickPeriod, [this] { OnTick(); }));
  // After a pause of the process, expired loans end before any work is started on their slots.
  subscriptions.push_back(m_context.timers.SubscribeToPauses([this](Duration) { OnTick(); }));
  m_context.fetch_document = [this](std::string digest, EntryId first) {
    return FetchDocument(std::move(digest), std::move(first));
  };
  m_tasks.Spawn([this] { return RunUnknownSenders(); });
  OnRosterChanged(m_context.roster.Get());

  Mailbox<int> stopped;
  Subscription stop = m_stop.Subscribe([&stopped] { stopped.Close(); });
  co_await stopped.Next();

  subscriptions.clear();
  m_context.fetch_document = nullptr;
  m_context.slot_adjustments.Set({});
  if (m_fetch) m_fetch->replies.Close();
  m_unknown_senders.Close();
  for (const auto& [entry, peer] : m_peers) peer->inbox.Close();
  Ret joined = co_await m_tasks.Join(m_context.timers, kJoinTimeout);
  m_peers.clear();
  co_return joined;
}

void PeerService::OnReceived(peering::ReceivedMessage received) {
  const EntryId& sender = received.envelope.sender;
  if (!received.route.empty() && (m_routes.size() < kMaxRoutes || m_routes.contains(sender))) {
    m_routes[sender] = received.route;
  }
  const auto peer = m_peers.find(sender);
  Mailbox<peering::ReceivedMessage>& inbox =
      peer == m_peers.end() ? m_unknown_senders : peer->second->inbox;
  if (inbox.size() >= kMaxInboxMessages) {
    m_dropped_messages.Increment();
    return;
  }
  inbox.Push(std::move(received));
}

void PeerService::OnRosterChanged(const RosterView& roster) {
  membership::PeersChanged changed;
  std::map<EntryId, std::string> keys;
  std::vector<EntryId> ids;
  std::map<EntryId, peering::PeerAddress> addresses;
  for (const RosterEntry& entry : roster.entries) {
    if (entry.id == m_context.settings.id) continue;
    changed.peers.push_back({.entry = entry.id, .incarnation = entry.incarnation});
    if (!entry.peer_public_key.empty()) keys[entry.id] = entry.peer_public_key;
    if (entry.peer_address.empty()) continue;
    ids.push_back(entry.id);
    addresses[entry.id] = {
        .id = entry.id, .address = entry.peer_address, .public_key = entry.peer_public_key};
  }
  m_transport->AcceptKeys(keys);
  HandlePeerEvent(changed);
  const auto chosen = membership::ChooseHeartbeatPeers(m_context.settings.id, ids);
  const std::set<EntryId> wanted(chosen.begin(), chosen.end());
  const auto current = m_peers;
  for (const auto& [entry, peer] : current) {
    if (!wanted.contains(entry)) StopPeer(entry);
  }
  for (const EntryId& entry : wanted) StartPeer(addresses.at(entry));
}

void PeerService::OnTick() {
  HandlePeerEvent(membership::PeerTick{});
  HandleLoanEvent(membership::LoanTick{});
}

void PeerService::AnnounceConfiguration() {
  const ActiveConfiguration& configuration = m_context.configuration.Get();
  const peering::ConfigAnnounce message{.version = configuration.version,
                                        .digest = configuration.digest};
  for (const auto& [entry, peer] : m_peers) SendTo(entry, message);
}

void PeerService::StartPeer(const peering::PeerAddress& address) {
  const auto known = m_peers.find(address.id);
  if (known != m_peers.end()) {
    Peer& peer = *known->second;
    if (peer.address.address == address.address && peer.address.public_key == address.public_key) {
      return;
    }
    peer.address = address;
    Connect(peer);
    return;
  }
  auto peer = std::make_shared<Peer>();
  peer->address = address;
  m_peers.emplace(address.id, peer);
  m_tasks.Spawn([this, peer] { return RunPeer(peer); });
}

void PeerService::StopPeer(const EntryId& entry) {
  const auto peer = m_peers.find(entry);
  if (peer == m_peers.end()) return;
  peer->second->inbox.Close();
  m_peers.erase(peer);
  HandleLoanEvent(membership::LenderLost{entry});
}

void PeerService::Connect(Peer& peer) {
  peer.connection = m_transport->Connect(peer.address);
  if (!peer.connection) return;
  const peering::Hello hello{.data_centre = m_context.settings.data_centre};
  peer.connection->Send(hello);
}

QCoro::Task<void> PeerService::RunPeer(std::shared_ptr<Peer> peer) {
  TimerService& timers = m_context.timers;
  Connect(*peer);
  TimePoint next_heartbeat = timers.Now();
  while (!peer->inbox.closed()) {
    const TimePoint now = timers.Now();
    if (now >= next_heartbeat) {
      if (peer->connection) peer->connection->Send(MakeHeartbeat());
      next_heartbeat = now + kHeartbeatPeriod;
    }
    const auto received = co_await peer->inbox.Next(timers, next_heartbeat - now);
    if (received && !peer->inbox.closed()) HandleMessage(*received);
  }
  peer->connection.reset();
}

QCoro::Task<void> PeerService::RunUnknownSenders() {
  while (const auto received = co_await m_unknown_senders.Next()) HandleMessage(*received);
}

void PeerService::HandleMessage(const peering::ReceivedMessage& received) {
  using Handler = void (PeerService::*)(const peering::ReceivedMessage&);
  // Indexed by the alternatives of peering::Message.
  static constexpr std::array<Handler, std::variant_size_v<peering::Message>> kHandlers{
      &PeerService::OnHello,          &PeerService::OnHeartbeat,
      &PeerService::OnConfigAnnounce, &PeerService::OnDocumentRequest,
      &PeerService::OnDocumentReply,  &PeerService::OnSlotRequest,
      &PeerService::OnSlotGrant,      &PeerService::OnSlotReturn,
      &PeerService::OnUnexpected,     &PeerService::OnUnexpected};
  const peering::Envelope& envelope = received.envelope;
  const membership::MessageReceived event{.entry = envelope.sender,
                                          .incarnation = envelope.incarnation,
                                          .own_connection = received.route.empty()};
  if (!HandlePeerEvent(event)) return;
  (this->*kHandlers[envelope.message.index()])(received);
}

// Relays serve the fleet of the users' platform, where no slots are lent.
void PeerService::OnUnexpected(const peering::ReceivedMessage&) {}

void PeerService::OnHello(const peering::ReceivedMessage& received) {
  Reply(received, MakeHeartbeat());
}

void PeerService::OnHeartbeat(const peering::ReceivedMessage& received) {
  const auto& heartbeat = std::get<peering::Heartbeat>(received.envelope.message);
  const EntryId& sender = received.envelope.sender;
  if (!received.route.empty()) Reply(received, MakeHeartbeat());
  if (m_peers.contains(sender)) {
    const auto free = static_cast<int>(std::min<uint32_t>(heartbeat.free_slots, 1'000'000));
    HandleLoanEvent(membership::LenderSeen{.entry = sender, .free_slots = free});
  }
  // A heartbeat with an older version only shows that the peer has not caught up yet. An
  // announcement of an older version is passed on, so that it is counted as stale.
  if (heartbeat.configuration_version < m_context.configuration.Get().version) return;
  OnPeerConfiguration(sender, heartbeat.configuration_version, heartbeat.configuration_digest);
}

void PeerService::OnConfigAnnounce(const peering::ReceivedMessage& received) {
  const auto& announce = std::get<peering::ConfigAnnounce>(received.envelope.message);
  OnPeerConfiguration(received.envelope.sender, announce.version, announce.digest);
}

void PeerService::OnPeerConfiguration(const EntryId& peer, uint64_t version,
                                      const std::string& digest) {
  const ActiveConfiguration& own = m_context.configuration.Get();
  if (version == 0 || (version == own.version && digest == own.digest)) return;
  m_context.peer_configuration.Set({.peer = peer, .version = version, .digest = digest});
}

void PeerService::OnDocumentRequest(const peering::ReceivedMessage& received) {
  const auto& request = std::get<peering::DocumentRequest>(received.envelope.message);
  const ActiveConfiguration& own = m_context.configuration.Get();
  peering::DocumentReply reply{.digest = request.digest};
  if (own.version > 0 && own.digest == request.digest) {
    reply.found = true;
    reply.text = own.text;
  }
  Reply(received, reply);
}

void PeerService::OnDocumentReply(const peering::ReceivedMessage& received) {
  const auto& reply = std::get<peering::DocumentReply>(received.envelope.message);
  if (m_fetch && m_fetch->digest == reply.digest) m_fetch->replies.Push(reply);
}

void PeerService::OnSlotRequest(const peering::ReceivedMessage& received) {
  const auto& request = std::get<peering::SlotRequest>(received.envelope.message);
  HandleLoanEvent(membership::LoanRequestReceived{.from = received.envelope.sender,
                                                  .incarnation = received.envelope.incarnation,
                                                  .request = FromMessage(request)});
}

void PeerService::OnSlotGrant(const peering::ReceivedMessage& received) {
  const auto& grant = std::get<peering::SlotGrant>(received.envelope.message);
  HandleLoanEvent(
      membership::LoanGrantReceived{.from = received.envelope.sender, .grant = FromMessage(grant)});
}

void PeerService::OnSlotReturn(const peering::ReceivedMessage& received) {
  const auto& returned = std::get<peering::SlotReturn>(received.envelope.message);
  HandleLoanEvent(membership::LoanReturnReceived{.from = received.envelope.sender,
                                                 .incarnation = received.envelope.incarnation,
                                                 .returned = FromMessage(returned)});
}

bool PeerService::HandlePeerEvent(const membership::PeerEvent& event) {
  bool accepted = true;
  bool changed = false;
  for (const membership::PeerAction& action : m_tracker.Handle(event, m_context.timers.Now())) {
    if (std::holds_alternative<membership::IgnoreMessage>(action)) {
      accepted = false;
    } else if (const auto* replace = std::get_if<membership::ReplaceConnection>(&action)) {
      const auto peer = m_peers.find(replace->entry);
      if (peer == m_peers.end()) continue;
      m_replaced_connections.Increment();
      Connect(*peer->second);
    } else if (const auto* suspect = std::get_if<membership::PeerBecameSuspect>(&action)) {
      Log(LogLevel::kWarning, "peer_suspect", {{"peer", suspect->entry.view()}});
      HandleLoanEvent(membership::LenderLost{suspect->entry});
      changed = true;
    } else if (const auto* restarted = std::get_if<membership::PeerRestarted>(&action)) {
      HandleLoanEvent(membership::LenderLost{restarted->entry});
    } else if (const auto* alive = std::get_if<membership::PeerBecameAlive>(&action)) {
      Log(LogLevel::kInfo, "peer_alive", {{"peer", alive->entry.view()}});
      changed = true;
    }
  }
  if (changed || std::holds_alternative<membership::PeersChanged>(event)) {
    PeerView view;
    for (const RosterEntry& entry : m_context.roster.Get().entries) {
      if (m_tracker.alive(entry.id)) view.alive.insert(entry.id);
    }
    m_alive_peers.Set(static_cast<double>(view.alive.size()));
    m_context.peers.Set(std::move(view));
  }
  return accepted;
}

void PeerService::HandleLoanEvent(const membership::LoanEvent& event) {
  const auto execute = [this](const std::vector<membership::LoanAction>& actions) {
    for (const membership::LoanAction& action : actions) {
      if (const auto* adjust = std::get_if<membership::AdjustSlots>(&action)) {
        m_context.slot_adjustments.Set({.delta = adjust->delta});
      } else if (const auto* request = std::get_if<membership::SendLoanRequest>(&action)) {
        SendTo(request->to, ToMessage(request->request));
      } else if (const auto* grant = std::get_if<membership::SendLoanGrant>(&action)) {
        SendTo(grant->to, ToMessage(grant->grant));
      } else if (const auto* returned = std::get_if<membership::SendLoanReturn>(&action)) {
        SendTo(returned->to, ToMessage(returned->returned));
      }
    }
  };
  const TimePoint now = m_context.timers.Now();
  execute(
      m_loans.Handle(NeedsLoad(event) ? ObserveLoad(m_context) : membership::LoadObserved{}, now));
  execute(m_loans.Handle(event, now));
}

bool PeerService::NeedsLoad(const membership::LoanEvent& event) const {
  // Observing the load scans the whole fleet, which takes an idle entry with 1,300 workers 7.7 % of
  // a core. Ticks and heartbeats therefore skip it while no request waits and no loan is active.
  const bool is_message = std::holds_alternative<membership::LoanRequestReceived>(event) ||
                          std::holds_alternative<membership::LoanGrantReceived>(event) ||
                          std::holds_alternative<membership::LoanReturnReceived>(event);
  const bool waiting = m_context.has_waiting_work && m_context.has_waiting_work();
  return is_message || waiting || m_loans.active();
}

int PeerService::LendableSlots() {
  const TimePoint now = m_context.timers.Now();
  if (!m_lendable_slots_at || now - *m_lendable_slots_at >= kHeartbeatPeriod) {
    m_lendable_slots = CountLendableSlots(ObserveLoad(m_context));
    m_lendable_slots_at = now;
  }
  return m_lendable_slots;
}

QCoro::Task<RetVal<std::string>> PeerService::FetchDocument(std::string digest, EntryId first) {
  // The fetch runs as a task of this service, so that it ends before the service is destroyed.
  const auto result = std::make_shared<OneShot<RetVal<std::string>>>();
  m_tasks.Spawn([this, digest, first, result]() -> QCoro::Task<void> {
    std::vector<EntryId> peers{first};
    for (const auto& [entry, peer] : m_peers) {
      if (entry != first && m_tracker.alive(entry)) peers.push_back(entry);
    }
    if (peers.size() > kMaxFetchPeers) peers.resize(kMaxFetchPeers);
    const auto fetch = std::make_shared<DocumentFetch>();
    fetch->digest = digest;
    m_fetch = fetch;
    std::optional<std::string> text;
    for (const EntryId& peer : peers) {
      const peering::DocumentRequest request{.digest = digest};
      if (text || fetch->replies.closed() || !SendTo(peer, request)) continue;
      const auto reply = co_await fetch->replies.Next(m_context.timers, kFetchTimeout);
      if (reply && reply->found && Sha256Hex(reply->text) == digest) text = reply->text;
    }
    if (m_fetch == fetch) m_fetch.reset();
    if (text) {
      result->Set(*text);
    } else {
      result->Set(Ret(ErrorCode::kUnavailable, "no peer has the document"));
    }
  });
  co_return co_await result->Wait();
}

peering::Heartbeat PeerService::MakeHeartbeat() {
  const ActiveConfiguration& configuration = m_context.configuration.Get();
  return {.configuration_version = configuration.version,
          .configuration_digest = configuration.digest,
          .free_slots = static_cast<uint32_t>(LendableSlots())};
}

void PeerService::Reply(const peering::ReceivedMessage& received, const peering::Message& message) {
  if (received.route.empty()) {
    SendTo(received.envelope.sender, message);
  } else {
    m_transport->Reply(received.route, message);
  }
}

bool PeerService::SendTo(const EntryId& entry, const peering::Message& message) {
  const auto peer = m_peers.find(entry);
  if (peer != m_peers.end() && peer->second->connection &&
      peer->second->connection->Send(message)) {
    return true;
  }
  const auto route = m_routes.find(entry);
  return route != m_routes.end() && m_transport->Reply(route->second, message);
}

}  // namespace citronferry::node
