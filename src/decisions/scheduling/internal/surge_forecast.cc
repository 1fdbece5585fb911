#include "decisions/scheduling/surge_forecast.h"

#include <algorithm>
#include <cmath>

namespace citronferry::scheduling {
namespace {

// Short enough to see a surge of four seconds early, long enough for some jobs to fall into it.
constexpr Duration kOfferedWindow = 700ms;
// Covers several turns of the queues.
constexpr Duration kMeanWindow = 20s;
// A surge is this many times the mean; the queues surge to four or five times theirs.
constexpr double kSurgeFactor = 1.6;
// Below this share of the pool's capacity more instances would bring nothing.
constexpr double kMinShareOfCapacity = 0.4;
// A surge has ended when the work that arrives falls below this share of what it brought.
constexpr double kEndShare = 0.35;
// Work seen within the first moments says little about the size of a surge.
constexpr Duration kMinSurge = 1s;
// A move takes 1.5 s, and the new executor some tenths of a second more until it is used.
constexpr Duration kMoveLeadTime = 2300ms;
// How long an expected surge may be late before its instances are free for others.
constexpr Duration kMaxSurgeDelay = 1500ms;
// What a pool's first surge probably takes, in capacities of the pool: the queues ask five times
// their mean, and pools are about 45 % in use at the mean.
constexpr double kFirstSurgeFactor = 2.2;
// Work that arrives at this share of the capacity begins more than a crowd of jobs by chance.
constexpr double kConfirmedShareOfCapacity = 0.8;
// A lag beyond this is no pattern of turns.
constexpr Duration kMaxLag = 30s;
constexpr double kNewestSurgeWeight = 0.5;  // Weight of the newest surge.

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
  // The latest surge of another pool that began long enough ago to be a turn before this one.
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
  // Until instances can be there, what has arrived says less than what surges are like.
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
