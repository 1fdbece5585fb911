#include "decisions/capacity/rollout_estimate.h"

#include <algorithm>

namespace citronferry::capacity {

int AllowedUnavailable(const WavePool& pool) {
  return std::max(0, pool.max_unavailable - pool.reserve - pool.unplanned_down);
}

std::optional<Duration> MinPoolDuration(const WavePool& pool, Duration instance_time) {
  const int allowed = AllowedUnavailable(pool);
  if (allowed == 0) return std::nullopt;
  const int rounds = (pool.instances + allowed - 1) / allowed;
  return rounds * instance_time;
}

std::optional<Duration> MinWaveDuration(std::span<const WavePool> pools, Duration instance_time) {
  Duration longest{};
  for (const WavePool& pool : pools) {
    const auto bound = MinPoolDuration(pool, instance_time);
    if (!bound) return std::nullopt;
    longest = std::max(longest, *bound);
  }
  return longest;
}

}  // namespace citronferry::capacity
