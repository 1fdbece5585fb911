#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_GRANT_COORDINATOR_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_GRANT_COORDINATOR_H_

#include <span>

#include "decisions/quotas/grant_planner.h"
#include "fleet/change_feed.h"
#include "fleet/fleet_context.h"

namespace citronferry::fleet {

class PoolOwner;

/// Reads and writes the rows that divide the quotas of teams among the pools, and sets the limits
/// of the pool's scheduler. Makes no call while the configuration has no team with a quota.
class GrantCoordinator {
 public:
  explicit GrantCoordinator(PoolOwner& owner);

  /// Applies the limits of the configuration at once, so that no start precedes them.
  void ApplyConfiguration();
  /// Follows the rows of all pools until the owner of the pool ends.
  QCoro::Task<void> Follow();
  /// Writes the row of the pool until the owner of the pool ends.
  QCoro::Task<void> Run();
  /// Updates the gauges of the configuration's teams.
  void UpdateGauges();

 private:
  void ApplyRows(std::span<const Row> rows);
  /// Passes the use of the teams to the planner.
  void UpdateNeeds();
  /// Passes the limits of the teams to the scheduler.
  void UpdateLimits();
  QCoro::Task<void> Write(quotas::GrantWrite write);

  PoolOwner& m_owner;
  FleetContext& m_context;
  quotas::GrantPlanner m_planner;
  ChangeFeed<RowChanges> m_feed;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_GRANT_COORDINATOR_H_
