#include "decisions/dispatch/internal/retry_budget.h"

#include <algorithm>

namespace citronferry::dispatch {
namespace {

// Savings beyond this would let a busy pool answer a sudden outage with a burst of retries.
constexpr double kMaxSaved = 20;
constexpr double kMinimumPerSecond = 1;

}  // namespace

void RetryBudget::CountFirstAttempt(double ratio) {
  m_saved = std::min(kMaxSaved, m_saved + ratio);
}

bool RetryBudget::Take(TimePoint now) {
  // Ten deposits of 0.1 add up to slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (m_saved + kRounding >= 1) {
    m_saved = std::max(0.0, m_saved - 1);
    return true;
  }
  m_minimum += ToSeconds(now - m_refilled_at) * kMinimumPerSecond;
  m_minimum = std::min(kMinimumBurst, m_minimum);
  m_refilled_at = now;
  if (m_minimum < 1) return false;
  m_minimum -= 1;
  return true;
}

}  // namespace citronferry::dispatch
