#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_WINDOW_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_WINDOW_H_

#include <cstdint>

#include "base/time.h"

namespace citronferry::maintenance {

/// Part of each day in which a wave may take instances out of service, as times after midnight UTC.
struct DailyWindow {
  Duration start{};
  Duration end = 24h;  ///< Exclusive; on the next day if not after start.

  bool Contains(Duration time_of_day) const;
  /// @return the time until the window is open; zero while it is.
  Duration TimeUntilOpen(Duration time_of_day) const;
};

/// @param wall_seconds wall clock in seconds since 1970.
/// @return the time after midnight UTC.
Duration TimeOfDay(int64_t wall_seconds);

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_WINDOW_H_
