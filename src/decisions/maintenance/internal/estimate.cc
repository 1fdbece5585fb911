#include "decisions/maintenance/estimate.h"

namespace citronferry::maintenance {

Duration RolloutTime(int instances, int allowed, Duration maintenance_time) {
  if (allowed <= 0) return Duration::zero();
  return (instances + allowed - 1) / allowed * maintenance_time;
}

Duration RolloutTime(int instances, int allowed, Duration maintenance_time,
                     const DailyWindow& window, Duration time_of_day) {
  if (allowed <= 0) return Duration::zero();
  Duration elapsed{};
  for (int left = instances; left > 0; left -= allowed) {
    elapsed += window.TimeUntilOpen(time_of_day + elapsed) + maintenance_time;
  }
  return elapsed;
}

void MaintenanceTimeEstimator::Add(Duration sample) {
  m_mean = m_observed ? (7 * m_mean + sample) / 8 : sample;
  m_observed = true;
}

}  // namespace citronferry::maintenance
