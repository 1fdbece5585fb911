#ifndef CITRONFERRY_DECISIONS_SCHEDULING_SURGE_FORECAST_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_SURGE_FORECAST_H_

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::scheduling {

/// Pattern of a pool's surges: which other pool surges before it, and how large its surges are.
struct SurgePattern {
  PoolName predecessor;
  Duration lag{};    ///< From the start of the predecessor's surge to the start of this pool's.
  double cores = 0;  ///< Arriving work during a surge, in core-seconds per second.

  friend bool operator==(const SurgePattern&, const SurgePattern&) = default;
};

/// Forecasts the cores that a pool needs from the arriving work and from the pattern of its surges.
///
/// Load pattern: the queues surge in turns, each for some seconds and to several times its mean. An
/// instance that is moved when a surge is detected arrives when half of the surge is over; one that
/// is moved when the surge of the preceding pool begins arrives in time.
class SurgeForecast {
 public:
  /// Records arriving work.
  void ObserveArrival(double core_seconds, TimePoint now);
  /// Records that a surge of another pool began.
  void ObservePeerSurge(const PoolName& peer, TimePoint now);
  /// Detects the beginning and the end of a surge of this pool.
  /// @param capacity_cores capacity of the pool: the threshold for a surge and the estimate of the
  ///   first one are proportional to it.
  void Update(double capacity_cores, TimePoint now);

  /// @return the current rate of arriving work, in core-seconds per second.
  double OfferedCores(TimePoint now) const;
  /// @return the cores needed for the work that arrives now or within the time of a move.
  double ExpectedCores(TimePoint now) const;
  /// @return the number of surges that have begun; other pools detect a new one by it.
  int surges() const { return m_surges; }
  bool in_surge() const { return m_in_surge; }

  const std::optional<SurgePattern>& pattern() const { return m_pattern; }
  /// Restores the pattern that a previous owner published.
  void Restore(const SurgePattern& pattern, int surges);

 private:
  void BeginSurge(double capacity_cores, TimePoint now);

  double m_offered = 0;  // Rate over an exponential window, as of m_observed_at.
  double m_mean = 0;     // The same over a longer window.
  TimePoint m_observed_at{};
  bool m_in_surge = false;
  TimePoint m_surge_began_at{};
  double m_surge_work = 0;   // Core-seconds since the surge began.
  double m_surge_level = 0;  // Estimated cores that the surge needs.
  int m_surges = 0;
  std::optional<SurgePattern> m_pattern;
  std::map<PoolName, TimePoint> m_peer_surges;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_SURGE_FORECAST_H_
