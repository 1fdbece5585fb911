#include "decisions/ownership/demand_tracker.h"

namespace citronferry::ownership {
namespace {

/// Updates the time since which a condition has held without interruption.
void UpdateSince(std::optional<TimePoint>& since, bool holds, TimePoint now) {
  if (!holds) {
    since.reset();
  } else if (!since) {
    since = now;
  }
}

}  // namespace

void DemandTracker::Observe(const std::map<PoolName, DemandSample>& pools, TimePoint now) {
  std::erase_if(m_pools, [&](const auto& item) { return !pools.contains(item.first); });
  for (const auto& [pool, sample] : pools) {
    State& state = m_pools[pool];
    if (now - state.sampled > m_options.max_sample_gap) state = {};
    state.sampled = now;
    UpdateSince(state.short_since, sample.waiting > 0 && sample.free_slots <= 0, now);
    const bool slack = sample.waiting == 0 && sample.slots > 0 &&
                       sample.free_slots >= m_options.slack_free_share * sample.slots;
    UpdateSince(state.slack_since, slack, now);
  }
}

bool DemandTracker::HasShortage(const PoolName& pool) const {
  return HasLasted(pool, &State::short_since, m_options.shortage_time);
}

bool DemandTracker::HasSlack(const PoolName& pool) const {
  return HasLasted(pool, &State::slack_since, m_options.slack_time);
}

bool DemandTracker::CanReturn(const PoolName& pool) const {
  return HasLasted(pool, &State::slack_since, m_options.return_time);
}

bool DemandTracker::HasLasted(const PoolName& pool, std::optional<TimePoint> State::*since,
                              Duration time) const {
  const auto found = m_pools.find(pool);
  if (found == m_pools.end()) return false;
  const std::optional<TimePoint>& start = found->second.*since;
  return start && found->second.sampled - *start >= time;
}

}  // namespace citronferry::ownership
