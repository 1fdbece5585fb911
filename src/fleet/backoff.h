#ifndef CITRONFERRY_FLEET_BACKOFF_H_
#define CITRONFERRY_FLEET_BACKOFF_H_

#include <algorithm>
#include <random>

#include "base/time.h"

namespace citronferry::fleet {

/// Growing, jittered delay between attempts.
class Backoff {
 public:
  Backoff(Duration first, Duration longest) : m_first(first), m_longest(longest), m_next(first) {}

  /// @return the delay before the next attempt, between half and the whole of the current step.
  Duration Next() {
    const Duration step = m_next;
    m_next = std::min(m_longest, m_next * 2);
    std::uniform_real_distribution<double> share(0.5, 1.0);
    return FromSeconds(ToSeconds(step) * share(Random()));
  }
  void Reset() { m_next = m_first; }

 private:
  // Backoffs are made for each call; the device of the system is read once.
  static std::minstd_rand& Random() {
    thread_local std::minstd_rand random{std::random_device{}()};
    return random;
  }

  Duration m_first;
  Duration m_longest;
  Duration m_next;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_BACKOFF_H_
