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
  kDraining,  ///< Entries finish what they sent and send no more.
  kDetached,  ///< No entry uses the instance; it reboots.
};

/// Content of an instance's row. Entries use the instance for `pool` only while it is serving.
struct InstanceRow {
  PoolName pool;
  RowState state = RowState::kServing;
  PoolName target;  ///< Pool after the reboot; the same pool for maintenance. Empty while serving.
  uint64_t epoch = 0;
  PoolName home;          ///< Pool that the document named when it was last applied to this row.
  uint64_t document = 0;  ///< Version of that document.

  friend bool operator==(const InstanceRow&, const InstanceRow&) = default;
};

struct StoredRow {
  InstanceRow row;
  uint64_t version = 0;
  uint64_t sequence = 0;
  TimePoint seen{};  ///< When this version was first observed.
};

struct ListedInstance {
  InstanceId id;
  bool live = false;  ///< False while it is leaving.

  friend bool operator==(const ListedInstance&, const ListedInstance&) = default;
};

/// What an entry's row says.
struct EntryReport {
  EntryId id;
  uint64_t version = 0;  ///< Of the entry's row.
  uint64_t acknowledged_sequence = 0;
  std::map<InstanceId, int> in_flight;
};

/// Permission to take an instance out of service, given by a row of its pool.
struct Reservation {
  uint64_t row_version = 0;  ///< Version of the instance's row that it applies to.
  PoolName target;
  bool failed = false;  ///< The instance did not come back in time and holds up no other move.
};

struct PoolPlan {
  bool spare = false;
  int min_instances = 1;
};

/// Load of a pool at one moment.
struct DemandSample {
  size_t waiting = 0;
  int free_slots = 0;
  int slots = 0;
};

// Events.

struct DocumentObserved {
  uint64_t version = 0;
  std::map<PoolName, PoolPlan> pools;
  std::map<InstanceId, PoolName> homes;
};
/// A row was read or written; nothing when it was removed or can not be read as one.
struct RowObserved {
  InstanceId id;
  std::optional<InstanceRow> row;
  uint64_t version = 0;
  uint64_t sequence = 0;
};
struct InstanceListObserved {
  TimePoint read_started{};
  std::vector<ListedInstance> instances;
};
struct RosterObserved {
  TimePoint read_started{};
  std::vector<EntryReport> entries;
};
struct ReservationsObserved {
  std::map<InstanceId, Reservation> reservations;
};
struct DemandObserved {
  std::map<PoolName, DemandSample> pools;
};
struct RebootAccepted {
  InstanceId id;
};
/// Asks for the next actions.
struct Tick {
  uint64_t epoch = 0;
};

using Event = std::variant<DocumentObserved, RowObserved, InstanceListObserved, RosterObserved,
                           ReservationsObserved, DemandObserved, RebootAccepted, Tick>;

// Actions.

struct WriteInstance {
  InstanceId id;
  InstanceRow row;
  std::optional<uint64_t> expected_version;  ///< Nothing: the row must not exist.
};
struct RebootInstance {
  InstanceId id;
};
/// A move should begin as soon as the budget of the source pool allows it.
struct RequestMove {
  InstanceId id;
  PoolName source;
  PoolName target;
};
/// Another planner has taken over.
struct ReportHigherEpoch {
  uint64_t epoch = 0;
};

using Action = std::variant<WriteInstance, RebootInstance, RequestMove, ReportHigherEpoch>;

}  // namespace citronferry::ownership

#endif  // CITRONFERRY_DECISIONS_OWNERSHIP_TYPES_H_
