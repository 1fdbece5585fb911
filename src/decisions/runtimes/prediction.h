#ifndef CITRONFERRY_DECISIONS_RUNTIMES_PREDICTION_H_
#define CITRONFERRY_DECISIONS_RUNTIMES_PREDICTION_H_

#include "base/time.h"
#include "decisions/runtimes/distribution.h"

namespace citronferry::runtimes {

/// Expected run time of a task: a learned distribution that is scaled, or the declared time. It
/// refers to the model that made it and is valid until the model changes.
class Prediction {
 public:
  /// A time without any distribution.
  explicit Prediction(Duration declared) : m_scale(ToSeconds(declared)) {}
  /// @param shape the learned distribution, or nullptr if there is none.
  /// @param scale factor of its values; without a shape the expected time in seconds.
  /// @param uncertainty standard deviation of the logarithm of the scale.
  Prediction(const Distribution* shape, double scale, double uncertainty)
      : m_shape(shape), m_scale(scale), m_uncertainty(uncertainty) {}

  /// @return the expected run time.
  Duration Mean() const { return MeanRemaining(Duration::zero()); }
  /// @param share of the runs, above 0 and below 1.
  /// @return the time that this share of the runs does not exceed; with few samples it is further
  ///   from the median.
  Duration Quantile(double share) const { return QuantileRemaining(share, Duration::zero()); }
  /// @param elapsed how long the run has lasted.
  /// @return the expected time until its end.
  Duration MeanRemaining(Duration elapsed) const;
  /// @return the time until its end that this share of such runs does not exceed.
  Duration QuantileRemaining(double share, Duration elapsed) const;

  /// @return the mean of the logarithm of the run time in seconds.
  double LogMean() const;
  /// @return the decayed number of runs behind it.
  double samples() const { return m_shape ? m_shape->weight() : 0; }
  /// @return the standard deviation of the logarithm of the expected time.
  double uncertainty() const { return m_uncertainty; }

 private:
  const Distribution* m_shape = nullptr;
  double m_scale = 0;
  double m_uncertainty = 0;
};

}  // namespace citronferry::runtimes

#endif  // CITRONFERRY_DECISIONS_RUNTIMES_PREDICTION_H_
