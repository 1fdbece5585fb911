#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RETRY_BUDGET_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RETRY_BUDGET_H_

#include "base/time.h"

namespace citronferry::dispatch {

/// Limits the retries of a pool to a share of its first attempts, so that retries can not multiply
/// the load of a pool that fails.
class RetryBudget {
 public:
  /// @param ratio retries that each first attempt allows.
  void CountFirstAttempt(double ratio);
  /// Takes one retry from the budget.
  /// @return false when the budget is used up.
  bool Take(TimePoint now);

 private:
  // A quiet pool may always retry one request to its end.
  static constexpr double kGuaranteedBurst = 3;

  double m_earned = 0;                     ///< Retries earned by first attempts.
  double m_guaranteed = kGuaranteedBurst;  ///< Retries granted whatever the load.
  TimePoint m_refilled_at{};
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_RETRY_BUDGET_H_
