#include "fleet/pool/internal/instance_directory.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Minimum time between two reads of the list, also after a failed one.
constexpr Duration kMinInterval = 300ms;
// Covers the mover's interval between reads of 1.5 s and a slow response.
constexpr Duration kMaxListAgeForOrders = 2500ms;

}  // namespace

QCoro::Task<void> InstanceDirectory::Refresh(Duration max_age) {
  const TimePoint now = m_context.timers.Now();
  const bool fresh = m_loaded && !m_invalidated && now - m_read_at <= max_age;
  if (fresh || now - m_requested_at < kMinInterval) co_return;
  m_requested_at = now;
  m_invalidated = false;
  auto listed = co_await m_context.platform.instances.List();
  if (!listed.ok()) {
    Log(LogLevel::kWarning, "instances_unknown", {{"error", listed.ret().message()}});
    co_return;
  }
  // Responses on different connections may overtake each other.
  if (m_loaded && now < m_read_at) co_return;
  // The list may show orders that were given while its response was under way.
  const TimePoint answered_at = m_context.timers.Now();
  // In a longer time an instance can leave the pool and come back without being listed elsewhere.
  const bool gap = answered_at - m_read_at > m_context.options.holder_change_interval;
  m_instances = std::move(listed).value();
  m_read_at = now;
  m_loaded = true;
  for (const Instance& instance : m_instances) {
    PoolMembership& membership = m_memberships[instance.id];
    if (gap || membership.pool != instance.pool) {
      membership = {.pool = instance.pool, .since = answered_at};
    }
  }
}

bool InstanceDirectory::MayOrder(const InstanceId& id, const PoolName& pool,
                                 InstanceOrderKind kind) const {
  const TimePoint now = m_context.timers.Now();
  const Instance* listed = Find(id);
  if (!listed || listed->pool != pool || now - m_read_at > kMaxListAgeForOrders) return false;
  const bool up = listed->state == InstanceState::kUp;
  if (now < m_unknown_until) return false;
  const auto found = m_orders.find(id);
  if (found == m_orders.end()) return up;
  const LastOrder& last = found->second;
  if (last.pending || now < last.blocked_until) return false;
  if (last.accepted && m_read_at <= last.ended_at) return false;
  if (now >= last.late_until) return up;
  // A repeated move would have copies that are carried out after the instance has been moved on.
  const bool repeats = !last.accepted && kind == last.kind;
  return repeats && kind == InstanceOrderKind::kMaintenance;
}

void InstanceDirectory::InheritOrders(const std::optional<std::vector<InstanceId>>& instances,
                                      TimePoint taken_over_at) {
  const TimePoint until =
      taken_over_at + kLateOrderWindow + m_context.options.holder_change_interval;
  if (!instances) {
    m_unknown_until = until;
    return;
  }
  for (const InstanceId& id : *instances) {
    m_orders[id] = {.late_until = until, .blocked_until = until};
  }
}

std::optional<std::vector<InstanceId>> InstanceDirectory::OrderedInstances() const {
  const TimePoint now = m_context.timers.Now();
  if (now < m_unknown_until) return std::nullopt;
  std::set<InstanceId> ordered(m_announced.begin(), m_announced.end());
  for (const auto& [id, order] : m_orders) {
    if (order.pending || now < order.late_until) ordered.insert(id);
  }
  return std::vector<InstanceId>(ordered.begin(), ordered.end());
}

bool InstanceDirectory::HasUnansweredOrder(const InstanceId& id) const {
  const auto found = m_orders.find(id);
  return found != m_orders.end() && m_context.timers.Now() < found->second.late_until;
}

int64_t InstanceDirectory::BeginOrder(const InstanceId& id, InstanceOrderKind kind,
                                      int64_t newest_version) {
  LastOrder& order = m_orders[id];
  const bool repeats = m_context.timers.Now() < order.late_until;
  order.kind = kind;
  if (!repeats) order.token = newest_version;
  order.pending = true;
  order.accepted = false;
  return order.token;
}

void InstanceDirectory::EndOrder(const InstanceId& id, InstanceOrderOutcome outcome) {
  const TimePoint now = m_context.timers.Now();
  LastOrder& order = m_orders[id];
  order.pending = false;
  order.accepted = outcome == InstanceOrderOutcome::kAccepted;
  order.ended_at = now;
  if (outcome == InstanceOrderOutcome::kUnknown) order.late_until = now + kLateOrderWindow;
  if (outcome == InstanceOrderOutcome::kFenced) {
    order.blocked_until = now + m_context.options.holder_change_interval;
  }
}

Duration InstanceDirectory::TimeInPool(const InstanceId& id, const PoolName& pool) const {
  const auto found = m_memberships.find(id);
  if (found == m_memberships.end() || found->second.pool != pool) return Duration::zero();
  return m_context.timers.Now() - found->second.since;
}

const Instance* InstanceDirectory::Find(const InstanceId& id) const {
  const auto found = std::find_if(m_instances.begin(), m_instances.end(),
                                  [&](const Instance& instance) { return instance.id == id; });
  return found == m_instances.end() ? nullptr : &*found;
}

}  // namespace citronferry::fleet
