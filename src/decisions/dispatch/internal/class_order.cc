#include "decisions/dispatch/internal/class_order.h"

#include <algorithm>

namespace citronferry::dispatch {
namespace {

// One start in 33 goes to another class even when urgent work overloads the pool. It costs urgent
// work 3 % of the rate and keeps watcher jobs from waiting for ever.
constexpr int kMaxUrgentRun = 32;
constexpr std::array<double, kPriorityCount> kWeights{1, 16, 4, 1};

bool HasOther(const ClassOrder::Mask& startable) {
  return std::any_of(startable.begin() + 1, startable.end(), [](bool value) { return value; });
}

}  // namespace

Priority ClassOrder::Next(const Mask& startable) const {
  const bool other = HasOther(startable);
  if (startable[0] && (!other || m_urgent_run < kMaxUrgentRun)) return Priority::kUrgent;
  size_t best = 0;
  for (size_t index = 1; index < kPriorityCount; ++index) {
    if (startable[index] && (best == 0 || m_start[index] < m_start[best])) best = index;
  }
  return static_cast<Priority>(best);
}

void ClassOrder::Activate(Priority priority) {
  double& start = m_start[IndexOf(priority)];
  start = std::max(start, m_virtual_time);
}

void ClassOrder::Charge(Priority priority, double cost, const Mask& startable) {
  if (priority == Priority::kUrgent) {
    m_urgent_run = HasOther(startable) ? m_urgent_run + 1 : 0;
    return;
  }
  m_urgent_run = 0;
  double& start = m_start[IndexOf(priority)];
  m_virtual_time = std::max(m_virtual_time, start);
  start += cost / kWeights[IndexOf(priority)];
}

void ClassOrder::Correct(Priority priority, double difference) {
  m_start[IndexOf(priority)] += difference / kWeights[IndexOf(priority)];
}

}  // namespace citronferry::dispatch
