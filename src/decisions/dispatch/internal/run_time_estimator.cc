#include "decisions/dispatch/internal/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace citronferry::dispatch {
namespace {

constexpr size_t kMinObservations = 8;
// Requests whose deadline is before the estimated end are refused and so never produce a new
// observation; without an expiry, an estimate that is too high would persist.
constexpr Duration kMaxAnswerAge = 30s;
constexpr double kTypicalQuantile = 0.5;
constexpr double kOptimisticQuantile = 0.05;
// Two buckets per doubling, from 100 microseconds to about five days.
constexpr double kSmallestMicroseconds = 100;
constexpr double kBucketsPerDoubling = 2;

size_t BucketOf(Duration run_time, size_t buckets) {
  const double ratio = static_cast<double>(run_time.count()) / kSmallestMicroseconds;
  if (ratio <= 1) return 0;
  return std::min(buckets - 1, static_cast<size_t>(std::log2(ratio) * kBucketsPerDoubling));
}

Duration LowerEdge(size_t bucket) {
  const double exponent = static_cast<double>(bucket) / kBucketsPerDoubling;
  return Duration(static_cast<int64_t>(kSmallestMicroseconds * std::exp2(exponent)));
}

}  // namespace

void DurationWindow::Add(Duration duration) {
  uint8_t& slot = m_window[m_observed % kWindow];
  if (m_observed >= kWindow) --m_counts[slot];
  slot = static_cast<uint8_t>(BucketOf(duration, kBuckets));
  ++m_counts[slot];
  ++m_observed;
}

Duration DurationWindow::Quantile(double quantile) const {
  const size_t filled = std::min(m_observed, kWindow);
  const auto rank = static_cast<size_t>(quantile * static_cast<double>(filled));
  size_t below = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    below += m_counts[bucket];
    if (below > rank) return LowerEdge(bucket);
  }
  return LowerEdge(kBuckets - 1);
}

void RunTimeEstimator::Observe(Duration run_time, TimePoint now) {
  m_all.Add(run_time);
  m_answered.Add(run_time);
  m_last_answered = now;
  m_typical = m_all.Quantile(kTypicalQuantile);
  m_optimistic = m_answered.Quantile(kOptimisticQuantile);
}

void RunTimeEstimator::ObserveAtLeast(Duration run_time) {
  // An elapsed time below the estimate is consistent with it.
  if (run_time <= m_typical) return;
  m_all.Add(run_time);
  m_typical = m_all.Quantile(kTypicalQuantile);
}

Duration RunTimeEstimator::Typical(Duration declared) const {
  return m_all.observed() < kMinObservations ? declared : m_typical;
}

Duration RunTimeEstimator::Optimistic(TimePoint now) const {
  if (m_answered.observed() < kMinObservations || now - m_last_answered > kMaxAnswerAge) return {};
  return m_optimistic;
}

}  // namespace citronferry::dispatch
