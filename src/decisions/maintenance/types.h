#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_TYPES_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/maintenance/window.h"

namespace citronferry::maintenance {

/// Why an instance was taken out of service.
enum class OutOfServiceReason {
  kWave,
  kMove,
  kFailed,  ///< Did not come back in time; counts as unplanned unavailability.
};

/// An instance that the planner took out of service.
struct OutOfServiceInstance {
  InstanceId instance;
  OutOfServiceReason reason = OutOfServiceReason::kWave;
  PoolName target;           ///< Pool after the reboot.
  uint64_t row_version = 0;  ///< Version of the instance's row when it was taken out.
  int generation = 0;        ///< Generation of the wave that counts it as done; 0 if none does.
  int64_t since = 0;         ///< Seconds since 1970 by the wall clock; for operators only.

  friend bool operator==(const OutOfServiceInstance&, const OutOfServiceInstance&) = default;
};

/// Content of a pool's row. Every planned removal from service is recorded here first, so the row
/// accounts for the whole budget of the pool.
struct PoolRow {
  uint64_t epoch = 0;     ///< Fencing epoch of the planner that wrote the row.
  uint64_t document = 0;  ///< Newest version of the document that was applied to the pool.
  std::vector<OutOfServiceInstance> out;
  std::string wave;                      ///< Wave in progress; empty when there is none.
  int generation = 0;                    ///< Of the wave in progress.
  std::vector<InstanceId> done;          ///< Maintained by the wave in progress, oldest first.
  std::vector<InstanceId> previous;      ///< Maintained by earlier waves, least recent first.
  std::map<std::string, int> completed;  ///< Generation of each wave that was completed here.
  /// When each of these waves was completed, in seconds since 1970 by the wall clock.
  std::map<std::string, int64_t> completed_at;

  friend bool operator==(const PoolRow&, const PoolRow&) = default;
};

/// An instance as its row and the platform's list show it.
struct Instance {
  InstanceId id;
  PoolName pool;
  RackName rack;  ///< Empty while unknown.
  DataCentreName data_centre;
  uint64_t row_version = 0;
  bool serving = false;   ///< State of its row.
  bool detached = false;  ///< State of its row.
  bool live = false;      ///< Listed by the platform and not shutting down.
};

/// Order in which a wave takes the instances of a pool.
enum class Order { kRackByRack, kSpread, kLongestSinceMaintenance };

/// Maintenance of all instances of a pool, as the document declares it.
struct Wave {
  std::string name;
  Order order = Order::kRackByRack;
  Duration instance_timeout = 15min;  ///< An instance detached for this long counts as failed.
  Duration maintenance_time{};        ///< Usual time of one instance; zero if not declared.
  DailyWindow window;
  Duration every = 24h * 28;  ///< Time from the end of the wave until it starts again.
  int generation = 1;         ///< A higher number makes the wave run again.
};

/// Budget and waves of a pool according to the document.
struct PoolPlan {
  PoolName name;
  int max_unavailable = 1;  ///< Smallest of the services that use the pool.
  int max_planned = 1;      ///< Smallest max_unavailable - reserve of these services.
  std::vector<Wave> waves;  ///< In the order of the document.
};

/// An instance that is to change its pool.
struct Move {
  InstanceId instance;
  PoolName source;
  PoolName target;
};

// Events.

/// A version of the document was adopted.
struct PlanObserved {
  uint64_t version = 0;  ///< Of the document.
  std::vector<PoolPlan> pools;
};
/// A pool row was read or written; empty when it was removed.
struct PoolObserved {
  PoolName pool;
  std::optional<PoolRow> row;
  uint64_t version = 0;
};
/// The current instances.
struct FleetObserved {
  TimePoint list_read{};  ///< When the read of the platform's list started.
  std::vector<Instance> instances;
};
/// Asks for the next actions.
struct Tick {
  uint64_t epoch = 0;        ///< Fencing epoch of the planner's lease.
  int64_t wall_seconds = 0;  ///< Seconds since 1970 by the wall clock, which may jump either way.
  std::vector<Move> moves;   ///< Wanted, most important first.
};

using Event = std::variant<PlanObserved, PoolObserved, FleetObserved, Tick>;

// Actions.

/// Write a pool's row if it still has the expected version.
struct WritePool {
  PoolName pool;
  PoolRow row;
  std::optional<uint64_t> expected_version;  ///< Empty: the row must not exist.
};
/// A row carries a higher epoch: another planner has taken over.
struct ReportHigherEpoch {
  uint64_t epoch = 0;
};
/// An instance did not come back within the timeout.
struct ReportFailed {
  PoolName pool;
  InstanceId instance;
};

using Action = std::variant<WritePool, ReportHigherEpoch, ReportFailed>;

/// Progress of the maintenance of one pool, shown to operators.
struct PoolProgress {
  PoolName pool;
  std::string wave;
  int instances = 0;
  int remaining = 0;  ///< Instances that the wave still has to maintain.
  int planned = 0;    ///< Out of service for the wave or a move.
  int unplanned = 0;  ///< Failed, missing or shutting down.
  int allowed = 0;    ///< Planned unavailability that the budget permits now.
  std::vector<InstanceId> failed;
  Duration estimate{};     ///< Time to finish; zero without a wave or when nothing is allowed.
  Duration lower_bound{};  ///< Time for the whole wave with the full budget.
};

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_TYPES_H_
