#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_

#include "base/time.h"

namespace citronferry::maintenance {

/// @return ceil(instances / allowed) x maintenance time: no roll-out within the budget is faster.
///   Zero when nothing is allowed.
Duration RollOutTime(int instances, int allowed, Duration maintenance_time);

/// Learns how long an instance is out for maintenance.
class MaintenanceTime {
 public:
  void Add(Duration sample);
  Duration Get() const { return m_mean; }

 private:
  // A drain and a reboot take minutes; this only serves until the first instance is back.
  Duration m_mean = 3min;
  bool m_observed = false;
};

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_ESTIMATE_H_
