#ifndef CITRONFERRY_DECISIONS_SCHEDULING_START_BUDGET_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_START_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace citronferry::scheduling {

/// Limits the bytes of start orders to what the link of the owner carries, as a token bucket.
///
/// Load pattern: a surge on executors with more capacity than the owner's link. Orders that wait in
/// the link delay the extension of leases and the commits behind them until both time out, and each
/// timeout adds load. Tasks wait in the scheduler instead, in the order of their ranks.
class StartBudget {
 public:
  /// @param bytes_per_second share of the link that starts may use.
  explicit StartBudget(double bytes_per_second)
      : m_rate(bytes_per_second), m_tokens(bytes_per_second * kBurstSeconds) {}

  /// Adds the tokens for the time since the last call.
  void Refill(TimePoint now) {
    if (now > m_refilled_at && m_refilled_at != TimePoint{}) {
      m_tokens =
          std::min(m_rate * kBurstSeconds, m_tokens + m_rate * ToSeconds(now - m_refilled_at));
    }
    m_refilled_at = std::max(now, m_refilled_at);
  }
  /// @return whether another order may be sent.
  bool available() const { return m_tokens > 0; }
  void Spend(int64_t bytes) { m_tokens -= static_cast<double>(bytes); }
  /// @return how long it takes until an order may be sent.
  Duration time_until_available() const {
    return available() ? Duration::zero() : FromSeconds(-m_tokens / m_rate) + 1ms;
  }

 private:
  static constexpr double kBurstSeconds = 0.2;

  double m_rate;  // Bytes per second.
  double m_tokens;
  TimePoint m_refilled_at{};
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_START_BUDGET_H_
