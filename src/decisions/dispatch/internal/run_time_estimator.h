#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RUN_TIME_ESTIMATOR_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RUN_TIME_ESTIMATOR_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace citronferry::dispatch {

/// Histogram of the latest durations. Its quantiles ignore outliers and adapt completely once the
/// window has been replaced.
class DurationWindow {
 public:
  void Add(Duration duration);
  size_t observed() const { return m_observed; }
  /// @return a quantile, rounded down to a step of half a doubling.
  Duration Quantile(double quantile) const;

 private:
  static constexpr size_t kWindow = 64;
  static constexpr size_t kBuckets = 64;

  std::array<uint8_t, kWindow> m_window{};  ///< Bucket of each duration, oldest overwritten.
  std::array<uint8_t, kBuckets> m_counts{};
  size_t m_observed = 0;
};

/// Learns the run time of a queue.
class RunTimeEstimator {
 public:
  /// Learns from an attempt that was answered.
  void Observe(Duration run_time, TimePoint now);
  /// Learns from an attempt that had not ended after a time. It raises the typical run time only:
  /// a silent executor says nothing about how fast a request can be.
  void ObserveAtLeast(Duration run_time);

  /// @param declared the estimate until attempts have been observed.
  /// @return the median run time.
  Duration Typical(Duration declared) const;
  /// @return a run time that few attempts stay below; zero when there is too little or only old
  /// evidence, so that nothing is refused on a guess.
  Duration Optimistic(TimePoint now) const;

 private:
  DurationWindow m_all;
  DurationWindow m_answered;
  TimePoint m_last_answered{};
  Duration m_typical{};
  Duration m_optimistic{};
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RUN_TIME_ESTIMATOR_H_
