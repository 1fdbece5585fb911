#ifndef CITRONFERRY_BASE_TIME_H_
#define CITRONFERRY_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace citronferry {

using Duration = std::chrono::microseconds;

/// Names the clock of TimePoint. It counts from boot and includes the time that the process or the
/// machine was suspended, so a lease is seen as lapsed after a pause. Read it through TimerService;
/// decisions receive the time as an argument.
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

/// @return the number of whole milliseconds in a duration.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @return a duration in seconds, with fraction.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return the duration of a number of seconds, rounded down to a microsecond.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace citronferry

#endif  // CITRONFERRY_BASE_TIME_H_
