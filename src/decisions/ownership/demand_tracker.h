#ifndef CITRONFERRY_DECISIONS_OWNERSHIP_DEMAND_TRACKER_H_
#define CITRONFERRY_DECISIONS_OWNERSHIP_DEMAND_TRACKER_H_

#include <map>
#include <optional>

#include "decisions/ownership/types.h"

namespace citronferry::ownership {

struct DemandOptions {
  /// Time for which a shortage has to last. Surges last seconds, whereas a move takes minutes for
  /// the drain and the reboot, so only longer demand justifies a move.
  Duration shortage_time = 5min;
  /// Time for which slack has to last before the pool can give an instance away.
  Duration slack_time = 10min;
  /// Time for which slack has to last before a borrowed instance is returned. Longer than
  /// slack_time, so that alternating demand does not move instances back and forth.
  Duration return_time = 30min;
  Duration max_sample_gap = 30s;  ///< A longer gap between samples restarts the measurement.
  double slack_free_share = 0.5;  ///< Least fraction of free slots at which a pool has slack.
};

/// Detects sustained shortage and slack of slots in each pool and ignores short surges.
class DemandTracker {
 public:
  explicit DemandTracker(DemandOptions options = {}) : m_options(options) {}

  /// @param pools load of every pool; the state of pools that are missing is discarded.
  /// @param now time of the samples.
  void Observe(const std::map<PoolName, DemandSample>& pools, TimePoint now);

  /// @return whether requests have waited without a free slot for at least shortage_time without
  ///   interruption.
  bool HasShortage(const PoolName& pool) const;
  /// @return whether, for at least slack_time without interruption, no request has waited and at
  ///   least slack_free_share of the slots have been free.
  bool HasSlack(const PoolName& pool) const;
  /// @return whether the slack has lasted for at least return_time, so that a borrowed instance can
  ///   leave the pool.
  bool CanReturn(const PoolName& pool) const;

 private:
  struct State {
    std::optional<TimePoint> short_since;
    std::optional<TimePoint> slack_since;
    TimePoint sampled{};  ///< Time of the latest sample.
  };

  /// @return whether a condition has held since a time that is at least `time` before the latest
  ///   sample.
  bool HasLasted(const PoolName& pool, std::optional<TimePoint> State::*since, Duration time) const;

  DemandOptions m_options;
  std::map<PoolName, State> m_pools;
};

}  // namespace citronferry::ownership

#endif  // CITRONFERRY_DECISIONS_OWNERSHIP_DEMAND_TRACKER_H_
