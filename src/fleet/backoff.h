#ifndef CITRONFERRY_FLEET_BACKOFF_H_
#define CITRONFERRY_FLEET_BACKOFF_H_

#include <algorithm>
#include <random>

#include "base/time.h"

namespace citronferry::fleet {

/// Exponential backoff with jitter.
class Backoff {
 public:
  /// @param first delay step before the first retry.
  /// @param longest upper bound of the delay step.
  Backoff(Duration first, Duration longest) : m_first(first), m_longest(longest), m_next(first) {}

  /// Doubles the delay step, up to the longest one.
  /// @return the delay before the next attempt, a random share between 50 % and 100 % of the step.
  Duration Next() {
    const Duration step = m_next;
    m_next = std::min(m_longest, m_next * 2);
    std::uniform_real_distribution<double> share(0.5, 1.0);
    return FromSeconds(ToSeconds(step) * share(Random()));
  }
  /// Starts again from the first step, after a success.
  void Reset() { m_next = m_first; }

 private:
  // Shared by all backoffs of a thread: a backoff is created for each call, and seeding a generator
  // reads the random device of the system.
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
