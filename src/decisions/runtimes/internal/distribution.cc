#include "decisions/runtimes/distribution.h"

#include <algorithm>
#include <cmath>

namespace citronferry::runtimes {
namespace {

// Half of the weight is on the last fifty values.
constexpr double kDecay = 0.98623;
constexpr double kBinsPerDoubling = 4;
// Weight below which a part of the distribution says nothing about the values in it.
constexpr double kNegligibleWeight = 0.05;
// Of the limit: how far the values above it are taken to reach when there are none.
constexpr double kUnseenShare = 0.5;

size_t BinOf(double value) {
  const double position = std::log2(value / Distribution::kMinValue) * kBinsPerDoubling;
  return static_cast<size_t>(std::clamp(position, 0.0, Distribution::kBins - 1.0));
}

// Lower edges of the bins, and the upper edge of the last one.
const std::array<double, Distribution::kBins + 1>& Edges() {
  static const auto kEdges = [] {
    std::array<double, Distribution::kBins + 1> values{};
    for (size_t i = 0; i < values.size(); ++i) {
      values[i] = Distribution::kMinValue * std::exp2(static_cast<double>(i) / kBinsPerDoubling);
    }
    return values;
  }();
  return kEdges;
}

}  // namespace

void Distribution::Add(double value) {
  if (!std::isfinite(value)) return;
  value = std::clamp(value, kMinValue, Edges().back());
  const double log_value = std::log(value);
  for (float& bin : m_bins) bin *= static_cast<float>(kDecay);
  m_bins[BinOf(value)] += 1;
  m_weight = m_weight * kDecay + 1;
  m_sum = m_sum * kDecay + value;
  m_log_sum = m_log_sum * kDecay + log_value;
  m_log_square_sum = m_log_square_sum * kDecay + log_value * log_value;
}

void Distribution::Merge(const Distribution& other) {
  const double total = m_weight + other.m_weight;
  const double scale = total > kMaxWeight ? kMaxWeight / total : 1;
  for (size_t i = 0; i < kBins; ++i) {
    m_bins[i] = static_cast<float>(scale * (m_bins[i] + other.m_bins[i]));
  }
  m_weight = scale * total;
  m_sum = scale * (m_sum + other.m_sum);
  m_log_sum = scale * (m_log_sum + other.m_log_sum);
  m_log_square_sum = scale * (m_log_square_sum + other.m_log_square_sum);
}

double Distribution::LogVariance() const {
  if (m_weight <= 0) return 0;
  const double mean = LogMean();
  return std::max(0.0, m_log_square_sum / m_weight - mean * mean);
}

double Distribution::WeightAbove(size_t bin, double limit) const {
  const double lower = Edges()[bin];
  const double upper = Edges()[bin + 1];
  if (limit <= lower) return m_bins[bin];
  if (limit >= upper) return 0;
  return m_bins[bin] * (upper - limit) / (upper - lower);
}

double Distribution::QuantileBeyond(double share, double limit) const {
  if (m_weight <= 0) return limit * (1 + kUnseenShare);
  const size_t first = limit <= kMinValue ? 0 : BinOf(limit);
  double above = 0;
  for (size_t i = first; i < kBins; ++i) above += WeightAbove(i, limit);
  if (above < kNegligibleWeight) return limit * (1 + kUnseenShare);
  double left = std::clamp(share, 0.0, 1.0) * above;
  for (size_t i = first; i < kBins; ++i) {
    const double weight = WeightAbove(i, limit);
    if (weight <= 0) continue;
    const double lower = std::max(Edges()[i], limit);
    if (left <= weight) return lower + (Edges()[i + 1] - lower) * left / weight;
    left -= weight;
  }
  return Edges().back();
}

double Distribution::MeanBeyond(double limit) const {
  if (limit <= kMinValue && m_weight > 0) return Mean();
  const size_t first = limit <= kMinValue ? 0 : BinOf(limit);
  double above = 0;
  double sum = 0;
  for (size_t i = first; i < kBins; ++i) {
    const double weight = WeightAbove(i, limit);
    above += weight;
    sum += weight * (std::max(Edges()[i], limit) + Edges()[i + 1]) / 2;
  }
  return above < kNegligibleWeight ? limit * (1 + kUnseenShare) : sum / above;
}

Distribution::Contents Distribution::contents() const {
  return {.bins = m_bins, .mean = Mean(), .log_mean = LogMean(), .log_variance = LogVariance()};
}

std::optional<Distribution> Distribution::Restore(const Contents& contents) {
  Distribution restored;
  restored.m_bins = contents.bins;
  for (const float bin : contents.bins) {
    if (!std::isfinite(bin) || bin < 0) return std::nullopt;
    restored.m_weight += bin;
  }
  const bool plausible = std::isfinite(contents.mean) && std::isfinite(contents.log_mean) &&
                         std::isfinite(contents.log_variance) && contents.mean >= 0 &&
                         contents.log_variance >= 0 && contents.mean <= Edges().back() * 1.01 &&
                         std::abs(contents.log_mean) <= std::log(Edges().back()) + 1;
  if (!plausible || restored.m_weight > kMaxWeight * 1.1) return std::nullopt;
  restored.m_sum = contents.mean * restored.m_weight;
  restored.m_log_sum = contents.log_mean * restored.m_weight;
  restored.m_log_square_sum =
      (contents.log_variance + contents.log_mean * contents.log_mean) * restored.m_weight;
  return restored;
}

}  // namespace citronferry::runtimes
