#include "fleet/pool/internal/instance_directory.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Minimum time between two reads of the list, also after a failed one.
constexpr Duration kMinInterval = 300ms;

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
