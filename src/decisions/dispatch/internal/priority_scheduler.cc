#include "decisions/dispatch/internal/priority_scheduler.h"

#include <algorithm>

namespace citronferry::dispatch {
namespace {

// One start in 33 goes to another class even when urgent requests overload the pool. This costs
// urgent requests 3 % of the rate and prevents the starvation of watcher jobs.
constexpr int kMaxUrgentRun = 32;
// By Priority; the weight of urgent requests has no effect.
constexpr std::array<double, kPriorityCount> kWeights{1, 16, 4, 1};

bool HasNonUrgent(const PriorityScheduler::Mask& startable) {
  return std::any_of(startable.begin() + 1, startable.end(), [](bool value) { return value; });
}

}  // namespace

Priority PriorityScheduler::Next(const Mask& startable) const {
  const bool other = HasNonUrgent(startable);
  if (startable[0] && (!other || m_urgent_run < kMaxUrgentRun)) return Priority::kUrgent;
  size_t best = 0;
  for (size_t index = 1; index < kPriorityCount; ++index) {
    if (startable[index] && (best == 0 || m_start_tags[index] < m_start_tags[best])) best = index;
  }
  return static_cast<Priority>(best);
}

void PriorityScheduler::Activate(Priority priority) {
  double& start_tag = m_start_tags[IndexOf(priority)];
  start_tag = std::max(start_tag, m_virtual_time);
}

void PriorityScheduler::Charge(Priority priority, double cost, const Mask& startable) {
  if (priority == Priority::kUrgent) {
    m_urgent_run = HasNonUrgent(startable) ? m_urgent_run + 1 : 0;
    return;
  }
  m_urgent_run = 0;
  double& start_tag = m_start_tags[IndexOf(priority)];
  m_virtual_time = std::max(m_virtual_time, start_tag);
  start_tag += cost / kWeights[IndexOf(priority)];
}

void PriorityScheduler::Correct(Priority priority, double difference) {
  m_start_tags[IndexOf(priority)] += difference / kWeights[IndexOf(priority)];
}

}  // namespace citronferry::dispatch
