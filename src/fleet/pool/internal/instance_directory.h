#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_

#include <map>
#include <vector>

#include "fleet/fleet_context.h"

namespace citronferry::fleet {

/// Cache of the platform's list of instances. Reading the list is charged, so the maintenance
/// coordinator and the instance mover of a pool share it.
class InstanceDirectory {
 public:
  explicit InstanceDirectory(FleetContext& context) : m_context(context) {}

  /// Reads the list again if it is older than max_age or was invalidated.
  QCoro::Task<void> Refresh(Duration max_age);
  /// Makes the next refresh read the list, however old it is.
  void Invalidate() { m_invalidated = true; }

  /// @return how long an instance has been listed in a pool, or zero if it is not. The move was
  ///   ordered by the owner of another pool at least this long ago.
  Duration TimeInPool(const InstanceId& id, const PoolName& pool) const;

  /// @return whether the list has been read.
  bool loaded() const { return m_loaded; }
  TimePoint read_at() const { return m_read_at; }
  const std::vector<Instance>& instances() const { return m_instances; }
  /// @return the instance, or nullptr if it is not listed.
  const Instance* Find(const InstanceId& id) const;

 private:
  FleetContext& m_context;
  struct PoolMembership {
    PoolName pool;
    TimePoint since{};  // When the instance was first listed in the pool.
  };

  std::vector<Instance> m_instances;
  std::map<InstanceId, PoolMembership> m_memberships;
  TimePoint m_read_at{};       // When the request for the current list was sent.
  TimePoint m_requested_at{};  // When the last request was sent.
  bool m_loaded = false;
  bool m_invalidated = true;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
