#ifndef CITRONFERRY_FLEET_FLEET_CONTEXT_H_
#define CITRONFERRY_FLEET_FLEET_CONTEXT_H_

#include <map>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/scheduling/move_planner.h"
#include "document/settings.h"
#include "fleet/interfaces/announcements.h"
#include "fleet/interfaces/client_protocol.h"
#include "fleet/interfaces/configuration.h"
#include "fleet/interfaces/executors.h"
#include "fleet/interfaces/instances.h"
#include "fleet/interfaces/row_store.h"
#include "supervision/observable.h"
#include "supervision/timer_service.h"
#include "telemetry/metrics.h"

namespace citronferry::fleet {

struct FleetOptions {
  std::string name;         ///< Of this entry; unique among the entries.
  std::string incarnation;  ///< Of this process.
  document::Endpoint client_listener;
  document::Endpoint readiness_listener;
  document::Endpoint metrics_listener;
  double cores = 1;              ///< Processor that this entry may use.
  Duration executor_lease = 5s;  ///< See docs/platform.md, "Ownership".
  Duration status_retention = 130s;
  Duration shutdown_grace = 6s;
  Duration holder_change_interval =
      3s;  ///< Least time between orders of two holders to one instance.
};

/// What the platform offers, through interfaces of the product.
struct PlatformServices {
  RowStore& rows;
  Announcements& announcements;
  Executors& executors;
  PlacementAdviser& adviser;
  Instances& instances;
  const ClientProtocol& clients;
};

/// Ownership of a pool as its row says, and when the row was seen to change.
struct OwnerView {
  std::string holder;  ///< Empty when the pool was given up.
  std::string incarnation;
  int64_t version = 0;  ///< 0: there is no row.
  TimePoint changed_at{};
};

using ExecutorListing = std::map<scheduling::ExecutorId, scheduling::ExecutorDescription>;

/// What the parts of one entry share. Each observable has one writer.
struct FleetContext {
  const FleetOptions& options;
  TimerService& timers;
  Metrics& metrics;
  PlatformServices& platform;

  Observable<Configuration> configuration;  ///< Version 0 until the first one was read.
  Observable<std::map<int64_t, MaintenanceWave>> waves;
  Observable<ExecutorListing> registry;
  Observable<std::map<PoolName, scheduling::PoolDemand>> demands;
  std::map<PoolName, OwnerView> owners;
  std::optional<TimePoint> owners_seen_since;  ///< Start of the unbroken observation of owners.
  TimePoint store_answered_at{};
  int owned_pools = 0;
  bool draining = false;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_FLEET_CONTEXT_H_
