#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RETRY_BUDGET_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RETRY_BUDGET_H_

#include "base/time.h"

namespace citronferry::dispatch {

/// Limits the retries of a pool to a fraction of its first attempts, so that retries cannot
/// multiply the load of a failing pool. Token bucket: each retry takes one token.
class RetryBudget {
 public:
  /// Earns a fraction of a retry for a first attempt.
  /// @param ratio retries that each first attempt allows.
  void CountFirstAttempt(double ratio);
  /// Takes one retry from the budget.
  /// @return false when the budget is exhausted.
  bool Take(TimePoint now);

 private:
  // Lets a pool with little load retry one request until its attempts are used up.
  static constexpr double kGuaranteedBurst = 3;

  double m_earned = 0;                     ///< Retries earned by first attempts.
  double m_guaranteed = kGuaranteedBurst;  ///< Retries granted independent of the load.
  TimePoint m_refilled_at{};
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RETRY_BUDGET_H_
