#ifndef CITRONFERRY_DECISIONS_SCHEDULING_DRAIN_PLANNER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_DRAIN_PLANNER_H_

#include <span>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Capacity of a pool's usable executors and the load on them, in cores.
struct PoolLoad {
  double capacity = 0;
  double used = 0;
  double waiting = 0;  ///< Requested by tasks that could not be placed.
};

/// An instance in service that is due for maintenance.
struct MaintenanceCandidate {
  InstanceId instance;
  double cores = 0;
  double used_cores = 0;
  int long_running_tasks = 0;
};

/// Load of a pool and progress of its maintenance wave.
struct MaintenanceState {
  PoolLoad load;
  int out_of_service = 0;    ///< Instances of the pool that are being drained or are down.
  int max_at_once = 1;       ///< Upper limit of the whole wave.
  size_t due_instances = 0;  ///< Instances of the pool that are still due.
  Duration time_left{};      ///< Until the end of the wave.
};

/// Chooses the instances to drain next.
///
/// Load pattern: the pools surge in turns and are idle in between. Instances are drained while the
/// rest of the pool has capacity for the running and waiting tasks, so that maintenance takes place
/// in the troughs. When time runs short, up to a quarter of the pool, and at least one instance, is
/// drained in a surge too.
/// @return the instances in the order in which to drain them.
std::vector<InstanceId> ChooseForMaintenance(std::span<const MaintenanceCandidate> candidates,
                                             const MaintenanceState& state);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_DRAIN_PLANNER_H_
