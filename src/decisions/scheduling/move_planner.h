#ifndef CITRONFERRY_DECISIONS_SCHEDULING_MOVE_PLANNER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_MOVE_PLANNER_H_

#include <map>
#include <span>
#include <vector>

#include "base/ids.h"
#include "decisions/scheduling/surge_forecast.h"

namespace citronferry::scheduling {

/// What the owner of a pool tells the others about its need of instances.
struct PoolDemand {
  PoolName pool;
  bool standby = false;  ///< Its instances are off and free to take.
  int instances = 0;     ///< In service, or off in a standby pool.
  int movable = 0;       ///< Of these without tasks that would have to move.
  double cores_per_instance = 0;
  double wanted_cores = 0;
  int min_instances = 0;  ///< Over which lasting tasks have to be spread, however few cores.
  std::map<PoolName, int> departing;  ///< Moves under way to other pools.
  int surges = 0;
  SurgePattern pattern;  ///< Empty predecessor if none was learned.

  friend bool operator==(const PoolDemand&, const PoolDemand&) = default;
};

struct PlannedMove {
  PoolName from;
  PoolName to;
  int count = 0;

  friend bool operator==(const PlannedMove&, const PlannedMove&) = default;
};

/// Matches pools that lack instances with pools that can spare them. All owners compute it from the
/// same rows, and each carries out the moves from its own pool.
///
/// Load pattern: one pool at a time needs twice its instances while the others idle. Idle pools
/// give first, since their instances are paid for anyway; those of a standby pool follow. What the
/// largest surge would leave idle goes to the standby pool.
std::vector<PlannedMove> PlanMoves(std::span<const PoolDemand> demands);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_MOVE_PLANNER_H_
