#include "decisions/dispatch/internal/retry_budget.h"

#include <algorithm>

namespace citronferry::dispatch {
namespace {

// With a higher limit, a busy pool would react to a sudden outage with a burst of retries.
constexpr double kMaxEarned = 20;
constexpr double kGuaranteedPerSecond = 1;

}  // namespace

void RetryBudget::CountFirstAttempt(double ratio) {
  m_earned = std::min(kMaxEarned, m_earned + ratio);
}

bool RetryBudget::Take(TimePoint now) {
  // Compensates for rounding: ten times 0.1 adds up to slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (m_earned + kRounding >= 1) {
    m_earned = std::max(0.0, m_earned - 1);
    return true;
  }
  m_guaranteed += ToSeconds(now - m_refilled_at) * kGuaranteedPerSecond;
  m_guaranteed = std::min(kGuaranteedBurst, m_guaranteed);
  m_refilled_at = now;
  if (m_guaranteed < 1) return false;
  m_guaranteed -= 1;
  return true;
}

}  // namespace citronferry::dispatch
