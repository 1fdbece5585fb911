#ifndef CITRONFERRY_DECISIONS_RUNTIMES_DISTRIBUTION_H_
#define CITRONFERRY_DECISIONS_RUNTIMES_DISTRIBUTION_H_

#include <array>
#include <cstddef>
#include <optional>
#include <span>

namespace citronferry::runtimes {

/// Decayed histogram of positive values with bins of equal width on a logarithmic scale. Half of
/// the weight is on the last fifty values, so that it follows a change within seconds.
///
/// It has a fixed size and its operations do not allocate.
class Distribution {
 public:
  /// Four bins for each doubling, so a quantile is off by 9 % at most, from 10 ms to almost 3 h.
  static constexpr size_t kBins = 80;
  static constexpr double kMinValue = 0.01;
  /// Limit of the weight to which the decay leads: 1 / (1 - kDecay).
  static constexpr double kMaxWeight = 72;

  /// Contents of a distribution, to store it and to restore it.
  struct Contents {
    std::array<float, kBins> bins{};
    double mean = 0;
    double log_mean = 0;      ///< Mean of the natural logarithms.
    double log_variance = 0;  ///< Variance of the natural logarithms.
  };

  /// Adds a value; values outside the range of the bins count for the outermost bin.
  void Add(double value);
  /// Adds the values of another distribution; the weight stays within kMaxWeight.
  void Merge(const Distribution& other);

  /// @return the decayed number of values.
  double weight() const { return m_weight; }
  /// @return the mean, or 0 if there are no values.
  double Mean() const { return m_weight > 0 ? m_sum / m_weight : 0; }
  /// @return the mean of the natural logarithms of the values.
  double LogMean() const { return m_weight > 0 ? m_log_sum / m_weight : 0; }
  /// @return the variance of the natural logarithms of the values.
  double LogVariance() const;
  /// @param share of the values, between 0 and 1.
  /// @return the value that this share does not exceed, or 0 if there are no values.
  double Quantile(double share) const { return QuantileBeyond(share, 0); }
  /// @return the quantile of the values above a limit. If there are next to none, half of the limit
  ///   again: what has lasted longer than anything before is not about to end.
  double QuantileBeyond(double share, double limit) const;
  /// @return the mean of the values above a limit, by the same rule.
  double MeanBeyond(double limit) const;

  Contents contents() const;
  /// @return the distribution, or nothing if the contents are not those of a distribution.
  static std::optional<Distribution> Restore(const Contents& contents);

 private:
  /// @return the weight of the part of a bin that lies above a limit.
  double WeightAbove(size_t bin, double limit) const;

  std::array<float, kBins> m_bins{};
  double m_weight = 0;
  double m_sum = 0;
  double m_log_sum = 0;
  double m_log_square_sum = 0;
};

}  // namespace citronferry::runtimes

#endif  // CITRONFERRY_DECISIONS_RUNTIMES_DISTRIBUTION_H_
