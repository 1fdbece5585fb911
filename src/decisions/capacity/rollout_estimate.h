#ifndef CITRONFERRY_DECISIONS_CAPACITY_ROLLOUT_ESTIMATE_H_
#define CITRONFERRY_DECISIONS_CAPACITY_ROLLOUT_ESTIMATE_H_

#include <optional>
#include <span>

#include "base/time.h"

namespace citronferry::capacity {

/// A pool that a wave goes through.
struct WavePool {
  int instances = 0;
  int max_unavailable = 1;
  int reserve = 1;         ///< Part of max_unavailable kept for unplanned failures.
  int unplanned_down = 0;  ///< Instances that are out for another reason.
};

/// @return instances that a wave may have out at a time; zero when it can not proceed.
int AllowedUnavailable(const WavePool& pool);

/// @param instance_time time one instance is out.
/// @return the shortest time a wave over one pool can take, or nothing when it can not proceed.
std::optional<Duration> MinPoolDuration(const WavePool& pool, Duration instance_time);

/// @return the shortest time a wave over pools in parallel can take, or nothing when one of them
/// can
///   not proceed.
std::optional<Duration> MinWaveDuration(std::span<const WavePool> pools, Duration instance_time);

}  // namespace citronferry::capacity

#endif  // CITRONFERRY_DECISIONS_CAPACITY_ROLLOUT_ESTIMATE_H_
