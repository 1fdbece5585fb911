#include "decisions/access/access_policy.h"

namespace citronferry::access {
namespace {

// An entry's clock may be 2 % slow, so a bound counts for less on it.
constexpr double kMinClockRate = 0.98;
// Time stamps are taken by tasks that may run a little late.
constexpr Duration kMargin = 100ms;

bool IsYounger(std::optional<TimePoint> confirmed_at, TimePoint received_at, Duration bound) {
  return confirmed_at &&
         received_at - *confirmed_at < FromSeconds(ToSeconds(bound) * kMinClockRate) - kMargin;
}

}  // namespace

bool AccessPolicy::MayServe(std::optional<TimePoint> confirmed_at, TimePoint received_at) const {
  return !m_bounds.strict_revocation ||
         IsYounger(confirmed_at, received_at, m_bounds.revocation_bound);
}

bool AccessPolicy::MayDeny(std::optional<TimePoint> confirmed_at, TimePoint received_at) const {
  return m_bounds.configuration_bound <= Duration::zero() ||
         IsYounger(confirmed_at, received_at, m_bounds.configuration_bound);
}

}  // namespace citronferry::access
