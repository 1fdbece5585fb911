#include "decisions/scheduling/surge_forecast.h"

#include <algorithm>
#include <cmath>

namespace citronferry::scheduling {
namespace {

// Short enough to detect a surge of 4 s early, long enough to contain several jobs.
constexpr Duration kOfferedWindow = 700ms;
// Covers several rounds of the queues' surges.
constexpr Duration kMeanWindow = 20s;
// Multiple of the mean at which a surge begins; queues surge to four or five times their mean.
constexpr double kSurgeFactor = 1.6;
// Share of the pool's capacity below which additional instances have no benefit.
constexpr double kMinShareOfCapacity = 0.4;
// A surge ends when the rate of arriving work falls below this share of the surge's mean rate.
constexpr double kEndShare = 0.35;
// Minimum duration of a surge; the arrivals of a shorter time do not show its size.
constexpr Duration kMinSurge = 1s;
// A move takes 1.5 s, and it takes some tenths of a second more until the new executor is used.
constexpr Duration kMoveLeadTime = 2300ms;
// Delay of an expected surge after which its instances become available to other pools.
constexpr Duration kMaxSurgeDelay = 1500ms;
// Estimated size of a pool's first surge, in multiples of its capacity: queues surge to five times
// their mean, at which about 45 % of a pool is in use.
constexpr double kFirstSurgeFactor = 2.2;
// Rate of arriving work, as a share of the capacity, that is too high for a coincidence of jobs and
// confirms a surge.
constexpr double kConfirmedShareOfCapacity = 0.8;
// Surges further apart than this are not taken for consecutive ones.
constexpr Duration kMaxLag = 30s;
constexpr double kNewestSurgeWeight = 0.5;  // In the moving average of surge sizes.

double Decay(Duration elapsed, Duration window) {
  return std::exp(-ToSeconds(elapsed) / ToSeconds(window));
}

}  // namespace

void SurgeForecast::ObserveArrival(double core_seconds, TimePoint now) {
  const Duration elapsed = now - m_observed_at;
  m_offered = m_offered * Decay(elapsed, kOfferedWindow) + core_seconds / ToSeconds(kOfferedWindow);
  m_mean = m_mean * Decay(elapsed, kMeanWindow) + core_seconds / ToSeconds(kMeanWindow);
  m_observed_at = now;
  if (m_in_surge) m_surge_work += core_seconds;
}

void SurgeForecast::ObservePeerSurge(const PoolName& peer, TimePoint now) {
  m_peer_surges[peer] = now;
}

double SurgeForecast::OfferedCores(TimePoint now) const {
  return m_offered * Decay(now - m_observed_at, kOfferedWindow);
}

void SurgeForecast::BeginSurge(double capacity_cores, TimePoint now) {
  m_in_surge = true;
  m_surge_began_at = now;
  m_surge_work = 0;
  m_surge_level =
      m_pattern && m_pattern->cores > 0 ? m_pattern->cores : kFirstSurgeFactor * capacity_cores;
  ++m_surges;
  // The predecessor is the pool with the latest surge that began before this one.
  const PoolName* predecessor = nullptr;
  Duration lag = kMaxLag;
  for (const auto& [peer, began_at] : m_peer_surges) {
    const Duration elapsed = now - began_at;
    if (elapsed < kMinSurge || elapsed >= lag) continue;
    lag = elapsed;
    predecessor = &peer;
  }
  if (!predecessor) return;
  const double cores = m_pattern ? m_pattern->cores : 0;
  m_pattern = SurgePattern{.predecessor = *predecessor, .lag = lag, .cores = cores};
}

void SurgeForecast::Update(double capacity_cores, TimePoint now) {
  const double offered = OfferedCores(now);
  if (!m_in_surge) {
    const double mean = m_mean * Decay(now - m_observed_at, kMeanWindow);
    if (offered > kSurgeFactor * mean && offered > kMinShareOfCapacity * capacity_cores) {
      BeginSurge(capacity_cores, now);
    }
    return;
  }
  const Duration lasted = now - m_surge_began_at;
  if (lasted < kMinSurge) return;
  const double surge_cores = m_surge_work / ToSeconds(lasted);
  if (offered >= kEndShare * surge_cores) return;
  m_in_surge = false;
  if (!m_pattern) return;
  m_pattern->cores = m_pattern->cores <= 0
                         ? surge_cores
                         : m_pattern->cores + kNewestSurgeWeight * (surge_cores - m_pattern->cores);
}

double SurgeForecast::ExpectedCores(TimePoint now) const {
  double expected = OfferedCores(now);
  // Until moved instances can arrive, the typical size of a surge predicts more than the arrivals.
  const bool confirmed = expected > kConfirmedShareOfCapacity * m_surge_level / kFirstSurgeFactor;
  if (m_in_surge && confirmed && now - m_surge_began_at < kMoveLeadTime) {
    expected = std::max(expected, m_surge_level);
  }
  if (!m_pattern || m_pattern->cores <= 0) return expected;
  const auto peer = m_peer_surges.find(m_pattern->predecessor);
  if (peer == m_peer_surges.end()) return expected;
  const TimePoint begins_at = peer->second + m_pattern->lag;
  if (now >= begins_at - kMoveLeadTime && now < begins_at + kMaxSurgeDelay) {
    expected = std::max(expected, m_pattern->cores);
  }
  return expected;
}

void SurgeForecast::Restore(const SurgePattern& pattern, int surges) {
  if (!pattern.predecessor.empty()) m_pattern = pattern;
  m_surges = surges;
}

}  // namespace citronferry::scheduling
