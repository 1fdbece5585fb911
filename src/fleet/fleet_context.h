#ifndef CITRONFERRY_FLEET_FLEET_CONTEXT_H_
#define CITRONFERRY_FLEET_FLEET_CONTEXT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/scheduling/duration_model.h"
#include "decisions/scheduling/move_planner.h"
#include "document/settings.h"
#include "fleet/interfaces/announcements.h"
#include "fleet/interfaces/client_protocol.h"
#include "fleet/interfaces/configuration.h"
#include "fleet/interfaces/executors.h"
#include "fleet/interfaces/instances.h"
#include "fleet/interfaces/row_store.h"
#include "http/client.h"
#include "http/client_budget.h"
#include "peering/keys.h"
#include "supervision/observable.h"
#include "supervision/timer_service.h"
#include "telemetry/metrics.h"

namespace citronferry::fleet {

class RelayClient;

/// Options of an entry: a node that serves clients and competes for the ownership of pools.
struct FleetOptions {
  std::string name;         ///< Name of this entry; unique among the entries.
  std::string incarnation;  ///< Tells this process from earlier ones with the same name.
  document::Endpoint client_listener;
  document::Endpoint readiness_listener;
  document::Endpoint metrics_listener;
  document::Endpoint relay_listener;  ///< Where owners connect to use this entry as a relay.
  /// Keys for the connections between entries; without them only the loopback address is allowed.
  std::optional<peering::PeerKeys> relay_keys;
  double cores = 1;                ///< CPU that this entry may use, in cores.
  double link_mbps = 1000;         ///< Rate of this entry's link, in Mbit/s.
  int64_t memory_mb = 0;           ///< A process that uses more is killed; 0 if not stated.
  int64_t max_descriptors = 0;     ///< Files and sockets of the process; 0 if not stated.
  bool strict_revocation = false;  ///< Withdrawn API keys expire also on isolated entries.
  Duration revocation_bound{};     ///< From the withdrawal of an API key to its last success.
  Duration configuration_bound{};  ///< Time in which a configuration takes effect everywhere.
  /// From the acknowledgement of a job's cancellation to the last start of one of its tasks.
  Duration cancellation_bound = 3s;
  double quota_burst = 0.1;  ///< Share of a team's quota that may be exceeded.
  /// Which run times decisions on pools are based on.
  scheduling::RunTimeUse run_times = scheduling::RunTimeUse::kLearned;
  Duration executor_lease = 5s;  ///< Lease of executors; see docs/platform.md, "Ownership".
  /// Executors shorten longer leases to this.
  Duration longest_executor_lease = 10s;
  Duration status_retention = 130s;  ///< How long the final state of a job is kept.
  Duration shutdown_grace = 6s;      ///< Time from the signal to stop to the end of the process.
  /// Minimum time between the orders of two holders to an instance.
  Duration holder_change_interval = 3s;
};

/// @return the public key of this entry's connections to relays, or an empty string without keys.
inline std::string PublicRelayKey(const FleetOptions& options) {
  return options.relay_keys ? options.relay_keys->public_key : std::string();
}

/// @return the IP address and port of this entry's relay.
inline std::string RelayAddress(const FleetOptions& options) {
  return options.relay_listener.address + ":" + std::to_string(options.relay_listener.port);
}

/// Services of the platform that an entry uses.
struct PlatformServices {
  RowStore& rows;
  Announcements& announcements;
  Executors& executors;
  PlacementAdviser& adviser;
  Instances& instances;
  const ClientProtocol& clients;
  http::Client* http = nullptr;  ///< Client that the services share, for its counters; optional.
};

/// Owner of a pool, as last read from the table `owners`.
struct OwnerView {
  std::string holder;       ///< Name of the owning entry; empty after the ownership was released.
  std::string incarnation;  ///< Process of the owning entry.
  std::string relay_key;    ///< Public key of the owning entry in Z85; see FleetOptions.
  std::string address;      ///< Where the owning process listens for calls to relay; may be empty.
  bool loading = false;     ///< The owner has not read the state of the pool yet.
  EntryId successor;        ///< After a release: the entry that bids first; empty for any.
  /// Instances with an order that may still be carried out; nothing if that is not known.
  std::optional<std::vector<InstanceId>> ordered_instances;
  std::optional<int64_t> jobs_clock_ms;  ///< As in the row; see OwnerRecord.
  int64_t version = 0;                   ///< Version of the row; 0 if there is no row.
  TimePoint changed_at{};                ///< When this entry saw the row change.
};

/// An entry that can make calls to executors for the owners of pools.
struct EntryRecord {
  EntryId entry;
  std::string address;     ///< IP address and port of its relay.
  std::string public_key;  ///< In Z85; empty if connections are not authenticated.
  double cores = 0;
  double link_mbps = 0;
  int64_t announced_version = 0;  ///< Version of its row, which it writes at its start.

  friend bool operator==(const EntryRecord&, const EntryRecord&) = default;
};

/// Registered executors by their ids.
using ExecutorListing = std::map<scheduling::ExecutorId, scheduling::ExecutorDescription>;

/// State that the services of an entry share. Each observable has exactly one writer.
struct FleetContext {
  const FleetOptions& options;
  TimerService& timers;
  Metrics& metrics;
  PlatformServices& platform;
  RelayClient* relays =
      nullptr;  ///< Makes the calls of platform.executors; nullptr if it has none.
  /// Memory and connections of the clients of all HTTP servers; nullptr gives each server its own.
  http::ClientBudget* client_budget = nullptr;

  Observable<Configuration> configuration;  ///< Version 0 until one has been read.
  /// When the request was sent that last showed that no newer configuration exists; empty before
  /// the first response.
  std::optional<TimePoint> configuration_confirmed_at;
  Observable<std::map<int64_t, MaintenanceWave>> waves;  ///< Announced waves by their numbers.
  Observable<ExecutorListing> registry;                  ///< Empty while no pool is owned.
  Observable<std::map<PoolName, scheduling::PoolDemand>> demands;  ///< Published by pool owners.
  Observable<std::map<EntryId, EntryRecord>> entries;  ///< Empty while no pool is owned.
  std::map<PoolName, OwnerView> owners;                ///< Last observed owners.
  /// Since when the owners have been read without a failure; empty after a failed read.
  std::optional<TimePoint> owners_seen_since;
  TimePoint store_answered_at{};  ///< When the store last answered a read or a commit.
  /// IP address and port on which this process listens for calls to relay; empty while it does not.
  std::string relay_address;
  int owned_pools = 0;    ///< Number of pools that this entry owns.
  bool draining = false;  ///< Set by the signal to stop.
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_FLEET_CONTEXT_H_
