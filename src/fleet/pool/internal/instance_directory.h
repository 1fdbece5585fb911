#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
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
  /// Records what the row of the previous owner tells about its orders. None is given to these
  /// instances while one of the previous owner may still be carried out, nor too soon after that.
  /// @param instances nothing blocks all instances for this time.
  /// @param taken_over_at after the last order of the previous owner.
  void InheritOrders(const std::optional<std::vector<InstanceId>>& instances,
                     TimePoint taken_over_at);
  /// @return the instances with an order that may still be carried out, or that is announced, for
  ///   the owner row; nothing if that is not known.
  std::optional<std::vector<InstanceId>> OrderedInstances() const;
  /// @return whether an order of this owner to the instance may still be carried out.
  bool HasUnansweredOrder(const InstanceId& id) const;
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
  friend class OrderAnnouncement;

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
    TimePoint blocked_until{};  // After an order of another holder.
  };

  std::vector<Instance> m_instances;
  std::map<InstanceId, PoolMembership> m_memberships;
  std::map<InstanceId, LastOrder> m_orders;
  std::multiset<InstanceId> m_announced;
  TimePoint m_unknown_until{};  // Orders of the previous owner may be carried out on any instance.
  TimePoint m_read_at{};        // When the request for the current list was sent.
  TimePoint m_requested_at{};   // When the last request was sent.
  bool m_loaded = false;
  bool m_invalidated = true;
};

/// Lets the owner row name an instance from before an order is sent until its outcome is recorded.
class OrderAnnouncement {
 public:
  OrderAnnouncement(InstanceDirectory& directory, InstanceId instance)
      : m_directory(directory), m_instance(std::move(instance)) {
    m_directory.m_announced.insert(m_instance);
  }
  ~OrderAnnouncement() { m_directory.m_announced.extract(m_instance); }
  OrderAnnouncement(const OrderAnnouncement&) = delete;
  OrderAnnouncement& operator=(const OrderAnnouncement&) = delete;

  const InstanceId& instance() const { return m_instance; }

 private:
  InstanceDirectory& m_directory;
  InstanceId m_instance;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DIRECTORY_H_
