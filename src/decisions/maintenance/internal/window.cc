#include "decisions/maintenance/window.h"

namespace citronferry::maintenance {
namespace {

constexpr Duration kDay = 24h;

/// @return the time difference modulo one day, not negative.
Duration Wrap(Duration difference) { return (difference % kDay + kDay) % kDay; }

}  // namespace

bool DailyWindow::Contains(Duration time_of_day) const {
  const Duration length = end > start ? end - start : end + kDay - start;
  return Wrap(time_of_day - start) < length;
}

Duration DailyWindow::TimeUntilOpen(Duration time_of_day) const {
  return Contains(time_of_day) ? Duration::zero() : Wrap(start - time_of_day);
}

Duration TimeOfDay(int64_t wall_seconds) { return Wrap(std::chrono::seconds(wall_seconds)); }

}  // namespace citronferry::maintenance
