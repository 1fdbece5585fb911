#include "decisions/maintenance/estimate.h"

namespace citronferry::maintenance {

Duration RollOutTime(int instances, int allowed, Duration maintenance_time) {
  if (allowed <= 0) return Duration::zero();
  return (instances + allowed - 1) / allowed * maintenance_time;
}

void MaintenanceTime::Add(Duration sample) {
  m_mean = m_observed ? (7 * m_mean + sample) / 8 : sample;
  m_observed = true;
}

}  // namespace citronferry::maintenance
