#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RUN_TIME_ESTIMATOR_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RUN_TIME_ESTIMATOR_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace citronferry::dispatch {

/// Histogram over a sliding window of the latest durations. Its quantiles are robust against
/// outliers, and older durations have no influence once the window has been replaced.
class DurationWindow {
 public:
  void Add(Duration duration);
  /// @return the number of durations added so far.
  size_t observed() const { return m_observed; }
  /// @param quantile from 0 to 1.
  /// @return the quantile, rounded down to the lower bound of its bucket; two buckets span a factor
  ///   of 2.
  Duration Quantile(double quantile) const;

 private:
  static constexpr size_t kWindow = 64;  ///< Number of durations kept.
  static constexpr size_t kBuckets = 64;

  std::array<uint8_t, kWindow> m_window{};  ///< Ring buffer with the bucket of each duration.
  std::array<uint8_t, kBuckets> m_counts{};
  size_t m_observed = 0;
};

/// Estimates the run time of the requests of a queue from observed attempts.
class RunTimeEstimator {
 public:
  /// Records an attempt that was answered.
  void Observe(Duration run_time, TimePoint now);
  /// Records an attempt that had not been answered after a time. It can only raise the typical run
  /// time: an executor that does not respond says nothing about how fast a request can be.
  void ObserveAtLeast(Duration run_time);

  /// @param declared the estimate until attempts have been observed.
  /// @return the median run time.
  Duration Typical(Duration declared) const;
  /// @return a low quantile of the run times; zero when there are too few observations or only old
  ///   ones, so that no request is refused without evidence.
  Duration Optimistic(TimePoint now) const;

 private:
  DurationWindow m_all;  ///< Answered and unanswered attempts.
  DurationWindow m_answered;
  TimePoint m_last_answered{};
  Duration m_typical{};
  Duration m_optimistic{};
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RUN_TIME_ESTIMATOR_H_
