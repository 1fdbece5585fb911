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

enum class OutOfServiceReason {
  kWave,
  kMove,
  kFailed,  ///< Did not come back in time; counts as unplanned.
};

/// An instance that was taken out of service on purpose.
struct OutOfServiceInstance {
  InstanceId instance;
  OutOfServiceReason reason = OutOfServiceReason::kWave;
  PoolName target;           ///< Pool after the reboot.
  uint64_t row_version = 0;  ///< Version of the instance's row when it was taken out.
  int generation = 0;        ///< Generation of the wave that counts it as done; 0 if none does.
  int64_t since = 0;  ///< Wall clock, seconds since 1970. Informative; nothing depends on it.

  friend bool operator==(const OutOfServiceInstance&, const OutOfServiceInstance&) = default;
};

/// Content of a pool's row: the only place where availability is spent.
struct PoolRow {
  uint64_t epoch = 0;
  uint64_t document = 0;  ///< Newest version of the document that was applied to the pool.
  std::vector<OutOfServiceInstance> out;
  std::string wave;  ///< Wave in progress; empty when there is none.
  int generation = 0;
  std::vector<InstanceId> done;          ///< Maintained by the wave in progress, in this order.
  std::vector<InstanceId> previous;      ///< Order in which earlier waves maintained instances.
  std::map<std::string, int> completed;  ///< Generation of each wave that ended on this pool.
  /// When each of these waves ended, by the wall clock in seconds since 1970.
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
  bool live = false;      ///< The list shows it and it is not leaving.
};

enum class Order { kRackByRack, kSpread, kLongestSinceMaintenance };

struct Wave {
  std::string name;
  Order order = Order::kRackByRack;
  Duration instance_timeout = 15min;
  Duration maintenance_time{};  ///< Usual time of one instance; zero if not declared.
  DailyWindow window;
  Duration every = 24h * 28;  ///< Time from the end of the wave until it starts again.
  int generation = 1;
};

/// What the document says about a pool.
struct PoolPlan {
  PoolName name;
  int max_unavailable = 1;  ///< Smallest of the services that use the pool.
  int max_planned = 1;      ///< Smallest max_unavailable - reserve of these services.
  std::vector<Wave> waves;  ///< In the order of the document.
};

struct Move {
  InstanceId instance;
  PoolName source;
  PoolName target;
};

// Events.

struct PlanObserved {
  uint64_t version = 0;  ///< Of the document.
  std::vector<PoolPlan> pools;
};
/// A pool row was read or written; nothing when it was removed.
struct PoolObserved {
  PoolName pool;
  std::optional<PoolRow> row;
  uint64_t version = 0;
};
struct FleetObserved {
  TimePoint list_read{};
  std::vector<Instance> instances;
};
/// Asks for the next actions.
struct Tick {
  uint64_t epoch = 0;
  int64_t wall_seconds = 0;  ///< Wall clock, seconds since 1970; may jump either way.
  std::vector<Move> moves;   ///< Wanted, most important first.
};

using Event = std::variant<PlanObserved, PoolObserved, FleetObserved, Tick>;

// Actions.

struct WritePool {
  PoolName pool;
  PoolRow row;
  std::optional<uint64_t> expected_version;  ///< Nothing: the row must not exist.
};
/// Another planner has taken over.
struct ReportHigherEpoch {
  uint64_t epoch = 0;
};
/// An instance did not come back from maintenance.
struct ReportFailed {
  PoolName pool;
  InstanceId instance;
};

using Action = std::variant<WritePool, ReportHigherEpoch, ReportFailed>;

/// State of one pool for operators.
struct PoolProgress {
  PoolName pool;
  std::string wave;
  int instances = 0;
  int remaining = 0;  ///< Instances that the wave still has to maintain.
  int planned = 0;    ///< Out for the wave or a move.
  int unplanned = 0;  ///< Failed, missing or leaving.
  int allowed = 0;    ///< Instances that may be out on purpose at once now.
  std::vector<InstanceId> failed;
  Duration estimate{};     ///< Time to finish; zero without a wave or when nothing is allowed.
  Duration lower_bound{};  ///< For the whole wave with the full budget.
};

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_TYPES_H_
