#ifndef CITRONFERRY_DECISIONS_SCHEDULING_START_WINDOW_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_START_WINDOW_H_

#include <algorithm>
#include <limits>

#include "base/time.h"

namespace citronferry::scheduling {

/// Limits the starts that wait to be sent to one executor, as a congestion window.
///
/// Load pattern: a burst of small tasks, of which an executor takes a hundred, while calls to it
/// are late or have no connection. Starts that are not sent in time are dropped, and ordering them
/// again at once takes the time of the owner that the leases and reports of its executors need.
/// There is no limit until a start was not sent. Then few are ordered, and one more with each that
/// is sent, so that their number doubles with each round of answers.
class StartWindow {
 public:
  /// @return whether no start is ordered for now.
  bool paused(TimePoint now) const { return now < m_paused_until; }
  /// @return the number of starts that may wait at a time.
  int limit() const { return m_limit; }
  bool limited() const { return m_limit != kUnlimited; }

  /// Records that the executor has answered a start.
  void OnSent() {
    m_pause = Duration::zero();
    if (limited() && ++m_limit > kLargest) m_limit = kUnlimited;
  }
  /// Records that a start could not be sent in time.
  /// @param ordered_at when it was ordered. Those that were ordered before the limit was last
  ///   lowered have no further effect, since a whole queue is dropped at a time.
  void OnNotSent(TimePoint ordered_at, TimePoint now) {
    if (ordered_at <= m_lowered_at) return;
    m_lowered_at = now;
    m_limit = kSmallest;
    m_paused_until = now + m_pause;
    m_pause = std::clamp(m_pause * 2, kFirstPause, kLongestPause);
  }
  /// @return whether a pause has ended since the last call.
  bool TakeEndOfPause(TimePoint now) {
    if (m_paused_until == TimePoint{} || paused(now)) return false;
    m_paused_until = {};
    return true;
  }

 private:
  static constexpr int kUnlimited = std::numeric_limits<int>::max();
  // As many as a link sends at a time on direct connections.
  static constexpr int kSmallest = 2;
  // A link that has sent as many in a row keeps up: they take it a fraction of the second after
  // which it drops starts.
  static constexpr int kLargest = 64;
  // There is no pause before the second attempt: in calm a connection may just have been closed.
  static constexpr Duration kFirstPause = 50ms;
  // Jobs of short tasks are due some 1.5 s after they were accepted.
  static constexpr Duration kLongestPause = 800ms;

  int m_limit = kUnlimited;
  Duration m_pause{};  // After the next start that is not sent.
  TimePoint m_paused_until{};
  TimePoint m_lowered_at{};
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_START_WINDOW_H_
