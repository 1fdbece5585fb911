#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_

#include "base/time.h"
#include "decisions/maintenance/window.h"

namespace citronferry::maintenance {

/// Lower bound for the duration of a rollout.
/// @param instances to be maintained.
/// @param allowed instances that may be out of service at the same time.
/// @param maintenance_time of one instance.
/// @return ceil(instances / allowed) x maintenance time: no rollout within the budget is faster.
///   Zero when nothing is allowed.
Duration RolloutTime(int instances, int allowed, Duration maintenance_time);

/// Duration of a rollout that takes instances out of service only within a daily window.
/// @param time_of_day after midnight UTC, at which the rollout starts or continues.
/// @return RolloutTime plus the waits for the window. Each step starts inside the window; it may
///   end after it.
Duration RolloutTime(int instances, int allowed, Duration maintenance_time,
                     const DailyWindow& window, Duration time_of_day);

/// Estimates how long the maintenance of an instance takes, by a moving average of observed times.
class MaintenanceTimeEstimator {
 public:
  /// @param sample observed time of one instance.
  void Add(Duration sample);
  /// @param declared time from the document, used before the first sample; zero if not declared.
  /// @return the estimated time of one instance.
  Duration Get(Duration declared) const {
    return m_observed || declared == Duration::zero() ? m_mean : declared;
  }

 private:
  // Initial estimate until the first instance is back: a drain and a reboot take minutes.
  Duration m_mean = 3min;
  bool m_observed = false;
};

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_
