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

/// The configuration that this entry uses.
struct ActiveConfiguration {
  uint64_t version = 0;  ///< 0 until the first configuration is activated.
  std::string digest;    ///< Lower-case hexadecimal SHA-256 of `text`.
  std::string text;      ///< The document as fetched, in TOML.
  std::shared_ptr<const document::Document> document;
};

/// Pool of an instance and its state there, from the instance's row in the table service.
struct InstanceOwnership {
  PoolName pool;
  bool serving = false;  ///< False while the instance drains or is detached.
  uint64_t version = 0;  ///< Version of the row, sent with each request as a fencing token.
};

/// The instances of the platform and their ownership, as last read by this entry.
struct FleetView {
  std::vector<provider::InstanceInfo> instances;
  std::map<InstanceId, InstanceOwnership> ownership;
  uint64_t ownership_sequence = 0;  ///< Change-feed position up to which ownership is known.
};

/// An entry as its roster row describes it.
struct RosterEntry {
  EntryId id;
  std::string incarnation;   ///< Random, new for each start of the process.
  std::string peer_address;  ///< IP address and port of its peer listener.
  DataCentreName data_centre;
  /// Change-feed position up to which the entry applies the changes of ownership.
  uint64_t acknowledged_sequence = 0;
  uint64_t configuration_version = 0;   ///< Version that the entry has activated.
  std::map<InstanceId, int> in_flight;  ///< Requests on instances that are not serving.
  std::string peer_public_key;          ///< CURVE key in Z85; empty without authentication.
};

/// The registered entries, which share the slots of the executors.
struct RosterView {
  std::vector<RosterEntry> entries;
  /// The current roster and the earlier ones that other entries may still use. The share of this
  /// entry is the smallest that any of these rosters gives it.
  std::vector<std::vector<EntryId>> active_rosters;
};

/// Configuration that a peer has announced as its active one.
struct PeerConfiguration {
  EntryId peer;
  uint64_t version = 0;
  std::string digest;
};

/// The peers that are alive, that is, whose messages arrive.
struct PeerView {
  std::set<EntryId> alive;
};

/// Whether this entry accepts work or finishes it before a shutdown.
enum class Lifecycle { kServing, kDraining };

/// Slots on loan: by how many the slots that this entry may use exceed (positive) or fall below
/// (negative) its own share.
struct SlotAdjustments {
  std::map<InstanceId, int> delta;
};

/// Snapshot of the gateway's load.
struct GatewayLoad {
  std::map<InstanceId, int> free_slots;  ///< May be negative after the share has shrunk.
  std::map<InstanceId, int> in_flight;   ///< Requests that run on the instance.
  std::map<PoolName, size_t> waiting;    ///< Requests in the queues of the pool.
};

/// State of a pool, as the planner reports it to operators.
struct PlannerPoolStatus {
  PoolName pool;
  std::string wave;  ///< Wave in progress; empty when there is none.
  int instances = 0;
  int remaining = 0;               ///< Instances that the wave still has to maintain.
  int planned = 0;                 ///< Out of service for a wave or a move.
  int unplanned = 0;               ///< Failed, missing or leaving.
  int allowed = 0;                 ///< Planned outages that the budget permits at present.
  std::vector<InstanceId> failed;  ///< Did not return from maintenance in time.
  Duration estimate{};             ///< Time until the wave ends; zero if unknown.
  Duration lower_bound{};          ///< Shortest duration of the whole wave with the full budget.
};

/// State of this entry's planner. `pools` and `moving` are filled only while it holds the lease.
struct PlannerStatus {
  std::string holder;   ///< Holder of the planner lease as last read.
  bool acting = false;  ///< This planner holds the lease and may act on it.
  uint64_t epoch = 0;   ///< Fencing epoch of the lease.
  std::vector<PlannerPoolStatus> pools;
  std::map<InstanceId, PoolName> moving;  ///< Instances that move, with their target pool.
};

/// State and services shared by the modules of an entry. The comment on each
/// member names what sets it.
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
  Observable<Lifecycle> lifecycle;         ///< Set by RunNode, the drain command and membership.
  Observable<PlannerStatus> planner;       ///< Set by the planner.
  std::function<GatewayLoad()> read_load;  ///< Set by the gateway while it runs.
  std::function<bool()> has_waiting_work;  ///< Set by the gateway while it runs.
  WorkRunner* work_runner = nullptr;       ///< Set by the gateway while it runs.

  /// Last configuration that a peer announced; set by membership.
  Observable<PeerConfiguration> peer_configuration;
  Observable<PeerView> peers;  ///< Set by membership.
  /// Time of the last response of the table service to a poll.
  std::optional<TimePoint> last_store_response;
  /// TLS settings of the listeners for callers and operators; empty without TLS.
  std::optional<QSslConfiguration> tls;
  std::string configuration_problem;  ///< Why the newest configuration is not active; else empty.
  /// Fetches a document by its digest from the peers, from `first` before the others. Set by
  /// membership while it runs.
  std::function<QCoro::Task<RetVal<std::string>>(std::string digest, EntryId first)> fetch_document;
};

/// @return the pools of the instances that the document lists and whose row says that they serve.
///   Draining and detached instances are left out.
std::map<InstanceId, PoolName> PoolsInService(const NodeContext& context);

/// @return 16 random hexadecimal digits.
std::string RandomToken();

/// @return the lower-case hexadecimal SHA-256 of a text.
std::string Sha256Hex(std::string_view text);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_NODE_CONTEXT_H_
