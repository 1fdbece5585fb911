#ifndef CITRONFERRY_NODE_NODE_CONTEXT_H_
#define CITRONFERRY_NODE_NODE_CONTEXT_H_

#include <qcoro/qcorotask.h>

#include <QSslConfiguration>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "document/document.h"
#include "document/settings.h"
#include "provider/provider_module.h"
#include "supervision/observable.h"
#include "supervision/timer_service.h"
#include "telemetry/metrics.h"

namespace citronferry::node {

class WorkRunner;

/// The configuration in force on this entry.
struct ActiveConfiguration {
  uint64_t version = 0;  ///< 0 until the first configuration is adopted.
  std::string digest;    ///< Lower-case hexadecimal SHA-256 of the text.
  std::string text;
  std::shared_ptr<const document::Document> document;
};

/// Which pool an instance belongs to, by its row in the table service.
struct InstanceOwnership {
  PoolName pool;
  bool serving = false;  ///< False while the instance drains or is detached.
  uint64_t version = 0;  ///< Version of the row, sent with each request as a fence.
};

/// The instances as this entry knows them.
struct FleetView {
  std::vector<provider::InstanceInfo> instances;
  std::map<InstanceId, InstanceOwnership> ownership;
  uint64_t ownership_sequence = 0;  ///< Change-feed position up to which ownership is known.
};

struct RosterEntry {
  EntryId id;
  std::string incarnation;   ///< Random; differs after each start of the process.
  std::string peer_address;  ///< IP address and port of its peer listener.
  DataCentreName data_centre;
  uint64_t acknowledged_sequence = 0;   ///< Ownership changes that the entry obeys.
  uint64_t configuration_version = 0;   ///< Configuration in force on the entry.
  std::map<InstanceId, int> in_flight;  ///< Requests on instances that are not serving.
  std::string peer_public_key;          ///< CURVE key in Z85; empty without authentication.
};

/// The entries that share the executors.
struct RosterView {
  std::vector<RosterEntry> entries;
  /// The current entries and those of rosters that other entries may still go by. A share is the
  /// smallest that any of them gives.
  std::vector<std::vector<EntryId>> active_rosters;
};

/// A configuration that a peer has in force.
struct PeerConfiguration {
  EntryId peer;
  uint64_t version = 0;
  std::string digest;
};

/// The peers that answer.
struct PeerView {
  std::set<EntryId> alive;
};

enum class Lifecycle { kServing, kDraining };

/// Slots that this entry may use beyond (positive) or below (negative) its own share.
struct SlotAdjustments {
  std::map<InstanceId, int> delta;
};

/// Load of the gateway at one moment.
struct GatewayLoad {
  std::map<InstanceId, int> free_slots;
  std::map<InstanceId, int> in_flight;
  std::map<PoolName, size_t> waiting;
};

/// A pool as the planner sees it.
struct PlannerPoolStatus {
  PoolName pool;
  std::string wave;  ///< Wave in progress; empty when there is none.
  int instances = 0;
  int remaining = 0;               ///< Instances that the wave still has to maintain.
  int planned = 0;                 ///< Out for a wave or a move.
  int unplanned = 0;               ///< Failed, missing or leaving.
  int allowed = 0;                 ///< Instances that may be out on purpose at once now.
  std::vector<InstanceId> failed;  ///< Did not come back from maintenance in time.
  Duration estimate{};             ///< Time until the wave ends; zero if unknown.
  Duration lower_bound{};          ///< Shortest time for the whole wave within the budget.
};

/// What the planner of this entry does. Pools and moves are known only while it holds the lease.
struct PlannerStatus {
  std::string holder;  ///< Holder of the lease as last seen.
  bool acting = false;
  uint64_t epoch = 0;
  std::vector<PlannerPoolStatus> pools;
  std::map<InstanceId, PoolName> moving;  ///< Instances on the way to another pool.
};

/// State and services that the parts of a node share. Each observable has one owner that sets it.
struct NodeContext {
  const document::Settings& settings;
  TimerService& timers;
  Metrics& metrics;
  provider::ProviderModule& platform;
  std::string incarnation;

  Observable<ActiveConfiguration> configuration;  ///< Set by the configuration watcher.
  Observable<FleetView> fleet;                    ///< Set by the fleet watcher.
  Observable<RosterView> roster;                  ///< Set by membership.
  Observable<SlotAdjustments> slot_adjustments;   ///< Set by membership.
  Observable<Lifecycle> lifecycle;                ///< Set by the node and the drain command.
  Observable<PlannerStatus> planner;              ///< Set by the planner.
  std::function<GatewayLoad()> read_load;         ///< Set by the gateway while it runs.
  std::function<bool()> has_waiting_work;         ///< Set by the gateway while it runs.
  WorkRunner* work_runner = nullptr;              ///< Set by the gateway while it runs.

  Observable<PeerConfiguration> peer_configuration;  ///< Last one announced; set by membership.
  Observable<PeerView> peers;                        ///< Set by membership.
  std::optional<TimePoint> last_store_response;  ///< Last answer of the table service to a poll.
  std::optional<QSslConfiguration> tls;          ///< Of the listeners for callers and operators.
  std::string configuration_problem;             ///< Why the newest configuration is not in force.
  /// Fetches a document by digest from a peer, the named one first. Set by membership while it
  /// runs.
  std::function<QCoro::Task<RetVal<std::string>>(std::string digest, EntryId first)> fetch_document;
};

/// @return the pool of each instance that serves; instances that drain or are detached have none.
std::map<InstanceId, PoolName> PoolsInService(const NodeContext& context);

/// @return 16 random hexadecimal digits.
std::string RandomToken();
/// @return the lower-case hexadecimal SHA-256 of a text.
std::string Sha256Hex(std::string_view text);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_NODE_CONTEXT_H_
