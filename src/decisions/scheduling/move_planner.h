#ifndef CITRONFERRY_DECISIONS_SCHEDULING_MOVE_PLANNER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_MOVE_PLANNER_H_

#include <map>
#include <span>
#include <vector>

#include "base/ids.h"
#include "decisions/scheduling/surge_forecast.h"

namespace citronferry::scheduling {

/// Demand of a pool for instances, published by its owner to the owners of the other pools.
struct PoolDemand {
  PoolName pool;
  bool standby = false;  ///< Its instances are switched off and available to other pools.
  int instances = 0;     ///< In service, or switched off in a standby pool.
  int movable = 0;       ///< Instances without tasks, which can be moved at once.
  double cores_per_instance = 0;
  double wanted_cores = 0;
  int min_instances = 0;  ///< Needed to spread long-running tasks, regardless of the cores.
  std::map<PoolName, int> departing;  ///< Instances in transit to other pools.
  int surges = 0;        ///< Number of surges that have begun; see SurgeForecast::surges.
  SurgePattern pattern;  ///< Its predecessor is empty if no pattern is known.

  friend bool operator==(const PoolDemand&, const PoolDemand&) = default;
};

/// A number of instances to move from one pool to another.
struct PlannedMove {
  PoolName from;
  PoolName to;
  int count = 0;

  friend bool operator==(const PlannedMove&, const PlannedMove&) = default;
};

/// Assigns spare instances to the pools that are short of them. All owners compute the plan from
/// the same stored rows, and each executes the moves out of its own pool.
///
/// Load pattern: one pool at a time needs twice its instances while the others are idle. Instances
/// are taken from idle pools first, since they cost money anyway, then from a standby pool. Idle
/// instances in excess of the largest known surge are moved to the standby pool.
std::vector<PlannedMove> PlanMoves(std::span<const PoolDemand> demands);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_MOVE_PLANNER_H_
