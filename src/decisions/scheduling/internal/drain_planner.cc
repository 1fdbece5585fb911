#include "decisions/scheduling/drain_planner.h"

#include <algorithm>
#include <tuple>

namespace citronferry::scheduling {
namespace {

// The remaining capacity has to be at least the load times this factor.
constexpr double kHeadroom = 1.25;
// Time of drain, maintenance and return of an instance, including the wait for its tasks.
constexpr Duration kTimePerInstance = 6s;
// When time runs short, this share of a pool may be out of service at once even in a surge.
constexpr double kUrgentShare = 0.25;

}  // namespace

std::vector<InstanceId> ChooseForMaintenance(std::span<const MaintenanceCandidate> candidates,
                                             const MaintenanceState& state) {
  std::vector<MaintenanceCandidate> ordered(candidates.begin(), candidates.end());
  // Least loaded first: these drain fastest and disrupt the fewest tasks.
  std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) {
    return std::tie(a.long_running_tasks, a.used_cores, a.instance) <
           std::tie(b.long_running_tasks, b.used_cores, b.instance);
  });
  const double instance_cores = ordered.empty() ? 0 : ordered.front().cores;
  const bool urgent =
      state.time_left < kTimePerInstance * static_cast<int64_t>(1 + state.due_instances / 2);
  std::vector<InstanceId> chosen;
  double capacity = state.load.capacity;
  int out = state.out_of_service;
  for (const MaintenanceCandidate& candidate : ordered) {
    if (out >= state.max_at_once) break;
    const double needed = (state.load.used + state.load.waiting) * kHeadroom;
    const bool fits = capacity - candidate.cores >= needed;
    const double pool_size = state.load.capacity / std::max(instance_cores, 1.0) + out;
    const bool forced = urgent && out < std::max(1.0, pool_size * kUrgentShare);
    if (!fits && !forced) break;
    chosen.push_back(candidate.instance);
    capacity -= candidate.cores;
    ++out;
  }
  return chosen;
}

}  // namespace citronferry::scheduling
