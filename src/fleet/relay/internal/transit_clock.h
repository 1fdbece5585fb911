#ifndef CITRONFERRY_FLEET_RELAY_INTERNAL_TRANSIT_CLOCK_H_
#define CITRONFERRY_FLEET_RELAY_INTERNAL_TRANSIT_CLOCK_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace citronferry::fleet {

/// Estimates how long messages from another process took, beyond the fastest one. The clocks of the
/// two processes have an unknown offset, of which the fastest message gives an upper bound.
class TransitClock {
 public:
  /// @param sent_at on the clock of the sender.
  /// @param received_at on the clock of the receiver.
  /// @return the estimated time in transit.
  Duration Observe(TimePoint sent_at, TimePoint received_at) {
    const Duration offset = received_at - sent_at;
    const Duration elapsed = m_observed_at ? received_at - *m_observed_at : Duration::zero();
    m_observed_at = received_at;
    // The clocks may run at different rates, so an old minimum is raised slowly.
    m_offset = m_offset ? std::min(offset, *m_offset + elapsed / kMaxDriftDivisor) : offset;
    return offset - *m_offset;
  }

 private:
  static constexpr int kMaxDriftDivisor = 1000;  // Clocks differ by less than 0.1 %.

  std::optional<Duration> m_offset;  // Clock of the receiver minus that of the sender.
  std::optional<TimePoint> m_observed_at;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_RELAY_INTERNAL_TRANSIT_CLOCK_H_
