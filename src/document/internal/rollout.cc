#include "document/rollout.h"

#include <algorithm>
#include <limits>

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr Duration kDay = 24h;

/// @return the time from the start of the first window to the end of the last step. Steps that do
///   not fit in a window wait for the next day.
Duration ElapsedTime(const Wave& wave, int64_t steps) {
  const Duration window = DailyWindow(wave);
  if (window == kDay) return steps * wave.maintenance_time;
  const int64_t steps_a_day = std::max<int64_t>(1, window / wave.maintenance_time);
  const int64_t last_day = (steps - 1) / steps_a_day;
  return last_day * kDay + (steps - last_day * steps_a_day) * wave.maintenance_time;
}

}  // namespace

int AllowedOut(const Document& document, const PoolName& pool) {
  int allowed = std::numeric_limits<int>::max();
  for (const Service& service : document.services) {
    if (service.pool != pool) continue;
    allowed = std::min(allowed, service.max_unavailable - service.reserve);
  }
  return allowed == std::numeric_limits<int>::max() ? 1 : std::max(0, allowed);
}

Duration DailyWindow(const Wave& wave) {
  return wave.end > wave.start ? wave.end - wave.start : wave.end + kDay - wave.start;
}

std::vector<PoolRollout> EstimateWave(const Document& document, const Wave& wave) {
  std::vector<PoolRollout> rollouts;
  for (const PoolName& name : wave.pools) {
    const Pool* pool = FindByName(document.pools, name);
    const int allowed = AllowedOut(document, name);
    if (!pool || pool->instances.empty() || allowed < 1) continue;
    const int instances = static_cast<int>(pool->instances.size());
    const int64_t steps = (instances + allowed - 1) / allowed;
    rollouts.push_back({.pool = name,
                        .instances = instances,
                        .allowed = allowed,
                        .work = steps * wave.maintenance_time,
                        .elapsed = ElapsedTime(wave, steps)});
  }
  return rollouts;
}

}  // namespace citronferry::document
