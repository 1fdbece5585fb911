#ifndef CITRONFERRY_DECISIONS_OWNERSHIP_DEMAND_TRACKER_H_
#define CITRONFERRY_DECISIONS_OWNERSHIP_DEMAND_TRACKER_H_

#include <map>
#include <optional>

#include "decisions/ownership/types.h"

namespace citronferry::ownership {

struct DemandOptions {
  /// A surge lasts seconds, a drain and a reboot last minutes; only longer demand justifies a move.
  Duration shortage_time = 5min;
  Duration slack_time = 10min;
  /// A lent instance is returned later than a pool is regarded as a donor, so that alternating
  /// demand does not move it back and forth.
  Duration return_time = 30min;
  Duration max_sample_gap = 30s;  ///< A longer gap says nothing about the time in between.
  double slack_free_share = 0.5;  ///< Free share of the slots from which a pool has slack.
};

/// Tells sustained demand from surges.
class DemandTracker {
 public:
  explicit DemandTracker(DemandOptions options = {}) : m_options(options) {}

  void Observe(const std::map<PoolName, DemandSample>& pools, TimePoint now);

  /// @return whether work has waited without a free slot for shortage_time without interruption.
  bool HasShortage(const PoolName& pool) const;
  bool HasSlack(const PoolName& pool) const;
  /// @return whether a lent instance can leave the pool again.
  bool CanReturn(const PoolName& pool) const;

 private:
  struct State {
    std::optional<TimePoint> short_since;
    std::optional<TimePoint> slack_since;
    TimePoint sampled{};
  };

  bool HasLasted(const PoolName& pool, std::optional<TimePoint> State::*since, Duration time) const;

  DemandOptions m_options;
  std::map<PoolName, State> m_pools;
};

}  // namespace citronferry::ownership

#endif  // CITRONFERRY_DECISIONS_OWNERSHIP_DEMAND_TRACKER_H_
