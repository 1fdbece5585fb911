#include "http/client_budget.h"

#include <algorithm>
#include <utility>

#include "http/internal/connection_limits.h"

namespace citronferry::http {
namespace {

constexpr size_t kMegabyte = 1024 * 1024;
// An entry takes 23 MB at rest and up to 60 MB in work.
constexpr size_t kWorkBytes = 64 * kMegabyte;
constexpr size_t kDefaultMemoryBytes = 256 * kMegabyte;
// Half of what remains is left to the allocator and to the kernel's buffers, which count as memory
// of the process.
constexpr size_t kClientDivisor = 2;
// Holds a few dozen bodies of the largest size that configurations allow.
constexpr size_t kMinBytes = 8 * kMegabyte;
// The rest of the budget stays for requests.
constexpr size_t kConnectionDivisor = 2;
// The platform counts these descriptors for files.
constexpr size_t kFileDescriptors = 200;
// The other half is for the store, executors, peers, and what the backlogs add at once.
constexpr size_t kDescriptorDivisor = 2;
constexpr size_t kMaxConnections = 2048;
constexpr size_t kMinConnections = 16;
// A request that has just begun is not closed in favour of another one that has.
constexpr int kMinUnfinishedTicks = 2;

}  // namespace

std::string_view ClientLimitEventName(ClientLimitEvent event) {
  static constexpr std::array<std::string_view, kClientLimitEvents> kNames{
      "refused_for_memory", "refused_body",           "refused_header",
      "refused_slow",       "refused_malformed",      "closed_idle",
      "closed_unfinished",  "closed_unread_response", "paused_accepting"};
  return kNames[static_cast<size_t>(event)];
}

ClientBudget::Share::Share(ClientBudget& budget, size_t base_bytes, std::function<void()> reclaim)
    : m_budget(budget), m_base_bytes(base_bytes), m_reclaim(std::move(reclaim)) {
  m_budget.m_used_bytes += m_base_bytes;
  ++m_budget.m_connections;
  Enter(Phase::kIdle);
}

ClientBudget::Share::~Share() {
  if (!m_reclaimed) m_budget.Remove(*this);
}

void ClientBudget::Share::Enter(Phase phase) {
  m_ticks = 0;
  if (m_reclaimed) return;
  std::list<Share*>* from = m_budget.ListOf(m_phase);
  std::list<Share*>* to = m_budget.ListOf(phase);
  m_phase = phase;
  if (from && to) {
    to->splice(to->end(), *from, m_position);
  } else if (to) {
    m_position = to->insert(to->end(), this);
  } else if (from) {
    from->erase(m_position);
  }
}

bool ClientBudget::Share::Reserve(size_t bytes) {
  if (m_reclaimed) return false;
  while (m_budget.m_used_bytes + bytes > m_budget.m_limits.max_bytes) {
    if (!m_budget.Reclaim(this)) return false;
  }
  Charge(bytes);
  return true;
}

void ClientBudget::Share::Charge(size_t bytes) {
  if (m_reclaimed) return;
  m_bytes += bytes;
  m_budget.m_used_bytes += bytes;
}

void ClientBudget::Share::Release() { m_budget.m_used_bytes -= std::exchange(m_bytes, 0); }

ClientBudget::Limits ClientBudget::DeriveLimits(size_t memory_bytes, size_t max_descriptors) {
  const size_t memory = memory_bytes == 0 ? kDefaultMemoryBytes : memory_bytes;
  Limits limits{.max_bytes = std::max(
                    kMinBytes, (std::max(memory, kWorkBytes) - kWorkBytes) / kClientDivisor)};
  limits.max_connections =
      std::min(kMaxConnections, limits.max_bytes / kConnectionDivisor / kConnectionBytes);
  if (max_descriptors > 0) {
    const size_t sockets = std::max(max_descriptors, kFileDescriptors) - kFileDescriptors;
    limits.max_connections = std::min(limits.max_connections, sockets / kDescriptorDivisor);
  }
  limits.max_connections = std::max(limits.max_connections, kMinConnections);
  return limits;
}

bool ClientBudget::Admit() {
  while (!has_room()) {
    if (!Reclaim(nullptr)) return false;
  }
  return true;
}

bool ClientBudget::Reclaim(const Share* requester) {
  Share* victim = nullptr;
  if (!m_idle.empty()) {
    victim = m_idle.front();
  } else if (!m_unfinished.empty() && m_unfinished.front()->m_ticks >= kMinUnfinishedTicks) {
    victim = m_unfinished.front();
  }
  if (!victim || victim == requester) return false;
  Count(victim->m_phase == Phase::kIdle ? ClientLimitEvent::kClosedIdle
                                        : ClientLimitEvent::kClosedUnfinished);
  Remove(*victim);
  victim->m_reclaimed = true;
  victim->m_reclaim();
  return true;
}

std::list<ClientBudget::Share*>* ClientBudget::ListOf(Phase phase) {
  if (phase == Phase::kIdle) return &m_idle;
  return phase == Phase::kUnfinished ? &m_unfinished : nullptr;
}

void ClientBudget::Remove(Share& share) {
  share.Enter(Phase::kHandling);
  share.Release();
  m_used_bytes -= share.m_base_bytes;
  --m_connections;
}

}  // namespace citronferry::http
