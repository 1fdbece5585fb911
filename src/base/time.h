#ifndef CITRONFERRY_BASE_TIME_H_
#define CITRONFERRY_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace citronferry {

using Duration = std::chrono::microseconds;

/// Clock of TimePoint: CLOCK_BOOTTIME, which also counts while the process or the machine is
/// suspended, so that a lease also expires during a pause. It is read through TimerService;
/// decision code receives the time as an argument.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using TimePoint = BootClock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// @return a duration in milliseconds, truncated toward zero.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @return a duration in seconds, with the fraction.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return a duration of this many seconds, truncated toward zero to a whole microsecond.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace citronferry

#endif  // CITRONFERRY_BASE_TIME_H_
