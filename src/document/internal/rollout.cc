#include "document/rollout.h"

#include <algorithm>
#include <limits>

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr Duration kDay = 24h;

/// Computes the time from the start of the first window to the end of the last step. Steps that do
/// not fit in a window wait for the next day.
/// @param steps number of rounds of max_concurrent instances, at least 1.
Duration RolloutDuration(const Wave& wave, int64_t steps) {
  const Duration window = DailyWindowLength(wave);
  if (window == kDay) return steps * wave.maintenance_time;
  const int64_t steps_per_day = std::max<int64_t>(1, window / wave.maintenance_time);
  const int64_t last_day = (steps - 1) / steps_per_day;
  return last_day * kDay + (steps - last_day * steps_per_day) * wave.maintenance_time;
}

}  // namespace

int AllowedDisruptions(const Document& document, const PoolName& pool) {
  int max_concurrent = std::numeric_limits<int>::max();
  for (const Service& service : document.services) {
    if (service.pool != pool) continue;
    max_concurrent = std::min(max_concurrent, service.max_unavailable - service.reserve);
  }
  return max_concurrent == std::numeric_limits<int>::max() ? 1 : std::max(0, max_concurrent);
}

Duration DailyWindowLength(const Wave& wave) {
  return wave.end > wave.start ? wave.end - wave.start : wave.end + kDay - wave.start;
}

std::vector<PoolRollout> EstimateWave(const Document& document, const Wave& wave) {
  std::vector<PoolRollout> rollouts;
  for (const PoolName& name : wave.pools) {
    const Pool* pool = FindByName(document.pools, name);
    const int max_concurrent = AllowedDisruptions(document, name);
    if (!pool || pool->instances.empty() || max_concurrent < 1) continue;
    const int instances = static_cast<int>(pool->instances.size());
    const int64_t steps = (instances + max_concurrent - 1) / max_concurrent;
    rollouts.push_back({.pool = name,
                        .instances = instances,
                        .max_concurrent = max_concurrent,
                        .maintenance_duration = steps * wave.maintenance_time,
                        .total_duration = RolloutDuration(wave, steps)});
  }
  return rollouts;
}

}  // namespace citronferry::document
