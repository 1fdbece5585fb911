#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_

#include "base/time.h"
#include "decisions/maintenance/window.h"

namespace citronferry::maintenance {

/// @return ceil(instances / allowed) x maintenance time: no roll-out within the budget is faster.
///   Zero when nothing is allowed.
Duration RolloutTime(int instances, int allowed, Duration maintenance_time);

/// @param time_of_day at which the roll-out goes on.
/// @return RolloutTime plus the waits for the window: each step starts inside it and may end after
/// it.
Duration RolloutTime(int instances, int allowed, Duration maintenance_time,
                     const DailyWindow& window, Duration time_of_day);

/// Learns how long an instance is out for maintenance.
class MaintenanceTimeEstimator {
 public:
  void Add(Duration sample);
  /// @param declared used until a maintenance has been observed; zero if not declared.
  Duration Get(Duration declared) const {
    return m_observed || declared == Duration::zero() ? m_mean : declared;
  }

 private:
  // A drain and a reboot take minutes; this only serves until the first instance is back.
  Duration m_mean = 3min;
  bool m_observed = false;
};

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_
