#ifndef CITRONFERRY_DECISIONS_OWNERSHIP_TYPES_H_
#define CITRONFERRY_DECISIONS_OWNERSHIP_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::ownership {

enum class RowState {
  kServing,
  kDraining,  ///< Entries send no new requests and finish those in flight.
  kDetached,  ///< No entry uses the instance; it is rebooted.
};

/// Content of the row that assigns an instance to a pool. Entries send requests of `pool` to the
/// instance only while it is serving.
struct InstanceRow {
  PoolName pool;
  RowState state = RowState::kServing;
  PoolName target;  ///< Pool after the reboot; the same pool for maintenance. Empty while serving.
  uint64_t epoch = 0;     ///< Fencing epoch of the planner that wrote the row.
  PoolName home;          ///< Pool that the document named when it was last applied to this row.
  uint64_t document = 0;  ///< Version of that document.

  friend bool operator==(const InstanceRow&, const InstanceRow&) = default;
};

/// Row of an instance as last observed.
struct StoredRow {
  InstanceRow row;
  uint64_t version = 0;
  uint64_t sequence = 0;  ///< Sequence number of the change; entries acknowledge it.
  TimePoint seen{};       ///< Time at which this version was first observed.
};

/// Instance in the list of the platform.
struct ListedInstance {
  InstanceId id;
  bool live = false;  ///< False while it is leaving.

  friend bool operator==(const ListedInstance&, const ListedInstance&) = default;
};

/// Content of the row in which an entry reports its progress.
struct EntryReport {
  EntryId id;
  uint64_t version = 0;                 ///< Version of the entry's row.
  uint64_t acknowledged_sequence = 0;   ///< Latest row change that the entry obeys.
  std::map<InstanceId, int> in_flight;  ///< Requests of the entry in flight, by instance.
};

/// Permission to take an instance out of service, granted in the row of its pool.
struct Reservation {
  uint64_t row_version = 0;  ///< Version of the instance's row for which it was granted.
  PoolName target;
  bool failed = false;  ///< The instance did not return in time; it no longer blocks other moves.
};

/// Settings of a pool that decide which instances it can give away.
struct PoolPlan {
  bool spare = false;  ///< The pool lends instances even without slack, unless it has a shortage.
  int min_instances = 1;  ///< Demand moves leave at least this many serving instances.
};

/// Load of a pool at one point in time.
struct DemandSample {
  size_t waiting = 0;  ///< Requests that wait for a slot.
  int free_slots = 0;
  int slots = 0;
};

// Events.

/// A version of the fleet document was read.
struct DocumentObserved {
  uint64_t version = 0;
  std::map<PoolName, PoolPlan> pools;
  std::map<InstanceId, PoolName> homes;  ///< Pool to which each instance is assigned.
};
/// The row of an instance was read or written; without a value if it was removed or is unreadable.
struct RowObserved {
  InstanceId id;
  std::optional<InstanceRow> row;
  uint64_t version = 0;
  uint64_t sequence = 0;
};
/// The list of instances was read from the platform.
struct InstanceListObserved {
  TimePoint read_started{};
  std::vector<ListedInstance> instances;
};
/// The rows of all entries were read.
struct RosterObserved {
  TimePoint read_started{};
  std::vector<EntryReport> entries;
};
/// The reservations of all pools; they replace the earlier ones.
struct ReservationsObserved {
  std::map<InstanceId, Reservation> reservations;
};
struct DemandObserved {
  std::map<PoolName, DemandSample> pools;
};
/// The platform accepted the request to reboot the instance.
struct RebootAccepted {
  InstanceId id;
};
/// Requests the next actions.
struct Tick {
  uint64_t epoch = 0;  ///< Fencing epoch of the lease that the planner holds.
};

using Event = std::variant<DocumentObserved, RowObserved, InstanceListObserved, RosterObserved,
                           ReservationsObserved, DemandObserved, RebootAccepted, Tick>;

// Actions.

/// Write the row of an instance by compare-and-set.
struct WriteInstance {
  InstanceId id;
  InstanceRow row;
  std::optional<uint64_t> expected_version;  ///< Without a value, the row must not exist.
};
/// Ask the platform to reboot an instance.
struct RebootInstance {
  InstanceId id;
};
/// Reserve the instance for a move as soon as the budget of the source pool allows it.
struct RequestMove {
  InstanceId id;
  PoolName source;
  PoolName target;
};
/// A row with a higher epoch was observed, so another planner has taken over.
struct ReportHigherEpoch {
  uint64_t epoch = 0;
};

using Action = std::variant<WriteInstance, RebootInstance, RequestMove, ReportHigherEpoch>;

}  // namespace citronferry::ownership

#endif  // CITRONFERRY_DECISIONS_OWNERSHIP_TYPES_H_
