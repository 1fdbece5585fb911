#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_

#include <map>
#include <vector>

#include "fleet/fleet_context.h"

namespace citronferry::fleet {

/// An order without a response may still be carried out up to this much later.
inline constexpr Duration kLateOrderWindow = 12s;

/// Orders that take an instance out of service.
enum class InstanceOrderKind { kMove, kMaintenance };

/// Cache of the platform's list of instances, and the orders that the owner of a pool has given to
/// them. Reading the list is charged, so the maintenance coordinator and the instance mover of a
/// pool share it. Both ask it for the right to give an order; see docs/platform.md, "Orders to
/// instances".
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

  /// @return whether this owner may give an instance of its pool an order now. It may not while an
  ///   earlier order is without effect or may still be carried out, except to repeat that order,
  ///   and not on the basis of an outdated list.
  /// @param pool pool of the owner.
  bool MayOrder(const InstanceId& id, const PoolName& pool, InstanceOrderKind kind) const;
  /// Records an order that is about to be sent.
  /// @param newest_version version of the last commit of the owner.
  /// @return the fencing token: that of the unanswered order that this one repeats, or
  ///   newest_version.
  int64_t BeginOrder(const InstanceId& id, InstanceOrderKind kind, int64_t newest_version);
  /// Records the outcome of an order.
  void EndOrder(const InstanceId& id, InstanceOrderOutcome outcome);

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

  /// Last order of this owner to an instance.
  struct LastOrder {
    InstanceOrderKind kind = InstanceOrderKind::kMove;
    int64_t token = 0;
    bool pending = false;   // Sent; the outcome is not known yet.
    bool accepted = false;  // A list that was requested later shows the effect.
    TimePoint ended_at{};
    TimePoint late_until{};     // An unanswered copy may be carried out until then.
    TimePoint blocked_until{};  // After a refusal that shows another holder.
  };

  std::vector<Instance> m_instances;
  std::map<InstanceId, PoolMembership> m_memberships;
  std::map<InstanceId, LastOrder> m_orders;
  TimePoint m_read_at{};       // When the request for the current list was sent.
  TimePoint m_requested_at{};  // When the last request was sent.
  bool m_loaded = false;
  bool m_invalidated = true;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
