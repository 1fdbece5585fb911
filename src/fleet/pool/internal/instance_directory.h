#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_

#include <map>
#include <vector>

#include "fleet/fleet_context.h"

namespace citronferry::fleet {

/// The platform's list of instances as it was last read. Reading is priced, so the duties of a pool
/// share it.
class InstanceDirectory {
 public:
  explicit InstanceDirectory(FleetContext& context) : m_context(context) {}

  /// Reads the list again if it is older than a bound.
  QCoro::Task<void> Refresh(Duration max_age);
  /// Makes the next refresh read the list.
  void Invalidate() { m_invalidated = true; }

  /// @return how long an instance has been seen in a pool. Another pool's owner gave the order that
  ///   brought it there, so this bounds the time since that order.
  Duration TimeInPool(const InstanceId& id, const PoolName& pool) const;

  bool loaded() const { return m_loaded; }
  TimePoint read_at() const { return m_read_at; }
  const std::vector<Instance>& instances() const { return m_instances; }
  const Instance* Find(const InstanceId& id) const;

 private:
  FleetContext& m_context;
  struct PoolMembership {
    PoolName pool;
    TimePoint since{};
  };

  std::vector<Instance> m_instances;
  std::map<InstanceId, PoolMembership> m_memberships;
  TimePoint m_read_at{};  // When the answer came.
  TimePoint m_requested_at{};
  bool m_loaded = false;
  bool m_invalidated = true;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
