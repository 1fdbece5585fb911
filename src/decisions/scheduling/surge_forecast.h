#ifndef CITRONFERRY_DECISIONS_SCHEDULING_SURGE_FORECAST_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_SURGE_FORECAST_H_

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::scheduling {

/// Which pool's surge comes before that of this pool, and how large this one's surges are.
struct SurgePattern {
  PoolName predecessor;
  Duration lag{};    ///< From the start of the predecessor's surge to that of this pool.
  double cores = 0;  ///< Work that arrives in a surge, in core-seconds per second.

  friend bool operator==(const SurgePattern&, const SurgePattern&) = default;
};

/// Estimates the cores that a pool needs from the work that arrives, and learns when to expect it.
///
/// Load pattern: the queues surge in turns of some seconds to several times their mean. An instance
/// that is moved when the surge is noticed arrives when half of it is over; one that is moved when
/// the surge of the pool before begins is there in time.
class SurgeForecast {
 public:
  /// Notes work that arrived.
  void ObserveArrival(double core_seconds, TimePoint now);
  /// Notes that another pool's surge began.
  void ObservePeerSurge(const PoolName& peer, TimePoint now);
  /// Updates whether this pool is in a surge.
  /// @param capacity_cores of the pool, below which no surge is worth acting on, and against which
  ///   the first surge is judged.
  void Update(double capacity_cores, TimePoint now);

  /// @return work that arrives now, in core-seconds per second.
  double OfferedCores(TimePoint now) const;
  /// @return cores to have ready for work that arrives now or soon.
  double ExpectedCores(TimePoint now) const;
  /// @return how many surges have begun, so that others can tell a new one.
  int surges() const { return m_surges; }
  bool in_surge() const { return m_in_surge; }

  const std::optional<SurgePattern>& pattern() const { return m_pattern; }
  /// Takes over what a previous owner has learned.
  void Restore(const SurgePattern& pattern, int surges);

 private:
  void BeginSurge(double capacity_cores, TimePoint now);

  double m_offered = 0;  // Exponential window, at m_offered_at.
  double m_mean = 0;     // The same over a long window.
  TimePoint m_observed_at{};
  bool m_in_surge = false;
  TimePoint m_surge_began_at{};
  double m_surge_work = 0;   // Core-seconds since the surge began.
  double m_surge_level = 0;  // Cores that it will probably take.
  int m_surges = 0;
  std::optional<SurgePattern> m_pattern;
  std::map<PoolName, TimePoint> m_peer_surges;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_SURGE_FORECAST_H_
