#ifndef CITRONFERRY_SUPERVISION_TIME_OF_DAY_H_
#define CITRONFERRY_SUPERVISION_TIME_OF_DAY_H_

#include <chrono>
#include <cstdint>

namespace citronferry {

/// @return the system clock's time in milliseconds since 1970 (Unix time). It may jump, so
///   durations are measured with TimerService.
inline int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_TIME_OF_DAY_H_
