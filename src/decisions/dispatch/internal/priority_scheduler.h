#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_SCHEDULER_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_SCHEDULER_H_

#include <array>
#include <cstddef>

#include "base/priority.h"

namespace citronferry::dispatch {

inline constexpr size_t kPriorityCount = 4;
inline constexpr size_t IndexOf(Priority priority) { return static_cast<size_t>(priority); }

/// Order in which the classes of a pool get slots. Urgent work goes first. The other classes share
/// what is left by weight, so that a lower class is slowed down by a surge but never stopped.
class PriorityScheduler {
 public:
  using Mask = std::array<bool, kPriorityCount>;

  /// @param startable classes with work that could start; at least one.
  Priority Next(const Mask& startable) const;
  /// A class that had nothing waiting has again.
  void Activate(Priority priority);
  /// @param cost expected slot time in seconds.
  /// @param startable as given to Next.
  void Charge(Priority priority, double cost, const Mask& startable);
  void Correct(Priority priority, double difference);

 private:
  std::array<double, kPriorityCount> m_start_tags{};
  double m_virtual_time = 0;
  int m_urgent_run = 0;  ///< Urgent starts in a row while other work could have started.
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_SCHEDULER_H_
