#include "decisions/runtimes/prediction.h"

#include <algorithm>
#include <cmath>

namespace citronferry::runtimes {
namespace {

// Least time left of a run, as a share of its expected time, when no distribution is known.
constexpr double kMinLeft = 0.1;

// Quantile of the normal distribution. The logistic distribution with this scale differs by less
// than 0.1 between 0.02 and 0.98.
double NormalQuantile(double share) {
  const double bounded = std::clamp(share, 0.001, 0.999);
  return std::log(bounded / (1 - bounded)) / 1.702;
}

}  // namespace

Duration Prediction::MeanRemaining(Duration elapsed) const {
  const double past = ToSeconds(elapsed);
  if (!m_shape) return FromSeconds(std::max(m_scale - past, kMinLeft * m_scale));
  return FromSeconds(std::max(0.0, m_shape->MeanBeyond(past / m_scale) * m_scale - past));
}

Duration Prediction::QuantileRemaining(double share, Duration elapsed) const {
  const double past = ToSeconds(elapsed);
  const double spread = m_uncertainty > 0 ? std::exp(NormalQuantile(share) * m_uncertainty) : 1;
  if (!m_shape) return FromSeconds(std::max(m_scale * spread - past, kMinLeft * m_scale));
  const double scale = m_scale * spread;
  return FromSeconds(std::max(0.0, m_shape->QuantileBeyond(share, past / scale) * scale - past));
}

double Prediction::LogMean() const {
  return std::log(std::max(m_scale, Distribution::kMinValue * Distribution::kMinValue)) +
         (m_shape ? m_shape->LogMean() : 0);
}

}  // namespace citronferry::runtimes
