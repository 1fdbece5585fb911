#ifndef CITRONFERRY_DECISIONS_SCHEDULING_DRAIN_PLANNER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_DRAIN_PLANNER_H_

#include <span>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Cores of a pool's usable executors, and what is asked of them.
struct PoolLoad {
  double capacity = 0;
  double used = 0;
  double waiting = 0;  ///< Asked for by tasks that do not fit.
};

/// An instance that is due for maintenance and in service.
struct MaintenanceCandidate {
  InstanceId instance;
  double cores = 0;
  double used_cores = 0;
  int long_running_tasks = 0;
};

struct MaintenanceState {
  PoolLoad load;
  int out_of_service = 0;    ///< Instances of the pool that are drained or down already.
  int max_at_once = 1;       ///< Of the whole wave.
  size_t due_instances = 0;  ///< Of this pool that are still due.
  Duration time_left{};
};

/// Chooses the instances to drain next.
///
/// Load pattern: each pool surges in its turn and idles between. Instances are taken while the rest
/// of the pool carries what runs and waits, so that a wave runs in the troughs; when the time left
/// gets short, one instance at a time is taken in a surge too.
/// @return instances in the order in which to drain them.
std::vector<InstanceId> ChooseForMaintenance(std::span<const MaintenanceCandidate> candidates,
                                             const MaintenanceState& state);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_DRAIN_PLANNER_H_
