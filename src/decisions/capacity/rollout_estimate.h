#ifndef CITRONFERRY_DECISIONS_CAPACITY_ROLLOUT_ESTIMATE_H_
#define CITRONFERRY_DECISIONS_CAPACITY_ROLLOUT_ESTIMATE_H_

#include <optional>
#include <span>

#include "base/time.h"

namespace citronferry::capacity {

/// A pool in which a maintenance wave takes instances out of service, a few at a time.
struct WavePool {
  int instances = 0;
  int max_unavailable = 1;
  int reserve = 1;         ///< Part of max_unavailable kept for unplanned failures.
  int unplanned_down = 0;  ///< Instances that are unavailable for reasons other than the wave.
};

/// @return the number of instances that a wave may take out at the same time; zero when it cannot
///   proceed.
int AllowedUnavailable(const WavePool& pool);

/// @param instance_time time for which each instance is out of service.
/// @return a lower bound on the duration of a wave in one pool, or nothing when it cannot proceed.
std::optional<Duration> MinPoolDuration(const WavePool& pool, Duration instance_time);

/// @param pools pools that the wave processes in parallel.
/// @param instance_time time for which each instance is out of service.
/// @return a lower bound on the duration of the wave, or nothing when it cannot proceed in a pool.
std::optional<Duration> MinWaveDuration(std::span<const WavePool> pools, Duration instance_time);

}  // namespace citronferry::capacity

#endif  // CITRONFERRY_DECISIONS_CAPACITY_ROLLOUT_ESTIMATE_H_
