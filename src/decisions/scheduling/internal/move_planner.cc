#include "decisions/scheduling/move_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace citronferry::scheduling {
namespace {

// Spare capacity that a pool keeps over what it wants, in instances.
constexpr int kKeptInstances = 1;
// A pool that lacks less than this has nothing to gain from a move that takes 1.5 s.
constexpr double kMinLack = 0.75;  // Instances.

/// @return instances that the largest surge known takes, or nothing if none is known.
std::optional<int> InstancesOfLargestSurge(std::span<const PoolDemand> demands) {
  std::optional<int> largest;
  for (const PoolDemand& demand : demands) {
    if (demand.pattern.cores <= 0 || demand.cores_per_instance <= 0) continue;
    const int count = static_cast<int>(std::ceil(demand.pattern.cores / demand.cores_per_instance));
    largest = std::max(largest.value_or(0), count);
  }
  return largest;
}

struct Party {
  PoolName pool;
  bool standby = false;
  int count = 0;
};

// Sends instances that not even the largest surge needs to the standby pool, where they cost
// nothing.
void Park(std::span<const PoolDemand> demands, std::vector<Party>& givers,
          std::vector<PlannedMove>& moves) {
  const auto standby = std::find_if(demands.begin(), demands.end(),
                                    [](const PoolDemand& demand) { return demand.standby; });
  const std::optional<int> reserve = InstancesOfLargestSurge(demands);
  if (standby == demands.end() || !reserve) return;
  int idle = 0;
  for (const Party& giver : givers) idle += giver.standby ? 0 : giver.count;
  int surplus = idle - *reserve;
  for (Party& giver : givers) {
    const int count = std::min(surplus, giver.count);
    if (giver.standby || count <= 0) continue;
    moves.push_back({.from = giver.pool, .to = standby->pool, .count = count});
    surplus -= count;
  }
}

}  // namespace

std::vector<PlannedMove> PlanMoves(std::span<const PoolDemand> demands) {
  std::map<PoolName, int> arriving;
  for (const PoolDemand& demand : demands) {
    for (const auto& [to, count] : demand.departing) arriving[to] += count;
  }
  std::vector<Party> takers;
  std::vector<Party> givers;
  for (const PoolDemand& demand : demands) {
    if (demand.cores_per_instance <= 0 && !demand.standby) continue;
    const double needed =
        demand.standby
            ? 0
            : std::max<double>(demand.min_instances,
                               demand.wanted_cores / std::max(demand.cores_per_instance, 1.0));
    const double lack = needed - demand.instances - arriving[demand.pool];
    if (lack > kMinLack) {
      takers.push_back({.pool = demand.pool, .count = static_cast<int>(std::ceil(lack))});
      continue;
    }
    const int kept = demand.standby ? 0 : static_cast<int>(std::ceil(needed)) + kKeptInstances;
    const int spare = std::min(demand.movable, demand.instances - kept);
    if (spare > 0) {
      givers.push_back({.pool = demand.pool, .standby = demand.standby, .count = spare});
    }
  }
  std::sort(givers.begin(), givers.end(), [](const Party& a, const Party& b) {
    return std::tuple(a.standby, -a.count, a.pool) < std::tuple(b.standby, -b.count, b.pool);
  });
  std::sort(takers.begin(), takers.end(), [](const Party& a, const Party& b) {
    return std::tuple(-a.count, a.pool) < std::tuple(-b.count, b.pool);
  });
  std::vector<PlannedMove> moves;
  for (Party& taker : takers) {
    for (Party& giver : givers) {
      const int count = std::min(taker.count, giver.count);
      if (count <= 0) continue;
      moves.push_back({.from = giver.pool, .to = taker.pool, .count = count});
      taker.count -= count;
      giver.count -= count;
    }
  }
  Park(demands, givers, moves);
  return moves;
}

}  // namespace citronferry::scheduling
