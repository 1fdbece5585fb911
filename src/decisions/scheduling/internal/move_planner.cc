#include "decisions/scheduling/move_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace citronferry::scheduling {
namespace {

// Instances that a pool keeps beyond its demand.
constexpr int kSpareInstances = 1;
// A move takes 1.5 s, which does not pay off for a smaller shortage.
constexpr double kMinShortage = 0.75;  // Instances.

/// @return the instances needed for the largest known surge, or nothing if no surge is known.
std::optional<int> InstancesOfLargestSurge(std::span<const PoolDemand> demands) {
  std::optional<int> largest;
  for (const PoolDemand& demand : demands) {
    if (demand.pattern.cores <= 0 || demand.cores_per_instance <= 0) continue;
    const int count = static_cast<int>(std::ceil(demand.pattern.cores / demand.cores_per_instance));
    largest = std::max(largest.value_or(0), count);
  }
  return largest;
}

/// Instances that a pool is short of or can spare.
struct PoolInstances {
  PoolName pool;
  bool standby = false;
  int count = 0;
};

// Plans moves to the standby pool, where instances cost nothing, for idle instances in excess of
// the largest known surge.
void MoveSurplusToStandby(std::span<const PoolDemand> demands, std::vector<PoolInstances>& donors,
                          std::vector<PlannedMove>& moves) {
  const auto standby = std::find_if(demands.begin(), demands.end(),
                                    [](const PoolDemand& demand) { return demand.standby; });
  const std::optional<int> reserve = InstancesOfLargestSurge(demands);
  if (standby == demands.end() || !reserve) return;
  int idle = 0;
  for (const PoolInstances& donor : donors) idle += donor.standby ? 0 : donor.count;
  int surplus = idle - *reserve;
  for (PoolInstances& donor : donors) {
    const int count = std::min(surplus, donor.count);
    if (donor.standby || count <= 0) continue;
    moves.push_back({.from = donor.pool, .to = standby->pool, .count = count});
    surplus -= count;
  }
}

}  // namespace

std::vector<PlannedMove> PlanMoves(std::span<const PoolDemand> demands) {
  std::map<PoolName, int> arriving;
  for (const PoolDemand& demand : demands) {
    for (const auto& [to, count] : demand.departing) arriving[to] += count;
  }
  std::vector<PoolInstances> receivers;
  std::vector<PoolInstances> donors;
  for (const PoolDemand& demand : demands) {
    if (demand.cores_per_instance <= 0 && !demand.standby) continue;
    const double needed =
        demand.standby
            ? 0
            : std::max<double>(demand.min_instances,
                               demand.wanted_cores / std::max(demand.cores_per_instance, 1.0));
    const double shortage = needed - demand.instances - arriving[demand.pool];
    if (shortage > kMinShortage) {
      receivers.push_back({.pool = demand.pool, .count = static_cast<int>(std::ceil(shortage))});
      continue;
    }
    const int kept = demand.standby ? 0 : static_cast<int>(std::ceil(needed)) + kSpareInstances;
    const int spare = std::min(demand.movable, demand.instances - kept);
    if (spare > 0) {
      donors.push_back({.pool = demand.pool, .standby = demand.standby, .count = spare});
    }
  }
  std::sort(donors.begin(), donors.end(), [](const PoolInstances& a, const PoolInstances& b) {
    return std::tuple(a.standby, -a.count, a.pool) < std::tuple(b.standby, -b.count, b.pool);
  });
  std::sort(receivers.begin(), receivers.end(), [](const PoolInstances& a, const PoolInstances& b) {
    return std::tuple(-a.count, a.pool) < std::tuple(-b.count, b.pool);
  });
  std::vector<PlannedMove> moves;
  for (PoolInstances& receiver : receivers) {
    for (PoolInstances& donor : donors) {
      const int count = std::min(receiver.count, donor.count);
      if (count <= 0) continue;
      moves.push_back({.from = donor.pool, .to = receiver.pool, .count = count});
      receiver.count -= count;
      donor.count -= count;
    }
  }
  MoveSurplusToStandby(demands, donors, moves);
  return moves;
}

}  // namespace citronferry::scheduling
