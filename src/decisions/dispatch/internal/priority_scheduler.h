#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_SCHEDULER_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_SCHEDULER_H_

#include <array>
#include <cstddef>

#include "base/priority.h"

namespace citronferry::dispatch {

inline constexpr size_t kPriorityCount = 4;
inline constexpr size_t IndexOf(Priority priority) { return static_cast<size_t>(priority); }

/// Selects the priority class of a pool that gets the next slot. Urgent requests go first. The
/// other classes share the remaining slot time by weight, so that a surge slows a lower class down
/// but never stops it.
class PriorityScheduler {
 public:
  using Mask = std::array<bool, kPriorityCount>;

  /// @param startable classes with a request that could start; at least one.
  /// @return the class to serve next.
  Priority Next(const Mask& startable) const;
  /// Called when a class without startable requests gets one; the class starts at the current
  /// virtual time and so has no credit from its idle time.
  void Activate(Priority priority);
  /// Charges a class for a request that starts now.
  /// @param cost expected slot time in seconds.
  /// @param startable as passed to Next.
  void Charge(Priority priority, double cost, const Mask& startable);
  /// Corrects an earlier charge.
  /// @param difference actual less charged slot time in seconds.
  void Correct(Priority priority, double difference);

 private:
  std::array<double, kPriorityCount> m_start_tags{};  ///< Virtual start time of the next request.
  double m_virtual_time = 0;
  int m_urgent_run = 0;  ///< Consecutive urgent starts while another class could have started.
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_SCHEDULER_H_
