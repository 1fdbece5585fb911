#ifndef CITRONFERRY_FLEET_WATCH_WATCHERS_H_
#define CITRONFERRY_FLEET_WATCH_WATCHERS_H_

#include "fleet/fleet_context.h"
#include "supervision/supervisor.h"

namespace citronferry::fleet {

/// Creates the service that keeps the configuration and the maintenance waves up to date.
ChildSpec MakeOperatorWatcher(FleetContext& context);
/// Creates the service that keeps the registry of executors up to date while this entry owns a
/// pool.
ChildSpec MakeRegistryWatcher(FleetContext& context);
/// Creates the service that follows the published demand of all pools while this entry owns a pool.
ChildSpec MakeDemandWatcher(FleetContext& context);
/// Creates the service that announces this entry as a relay, and follows the other entries while
/// this entry owns a pool.
ChildSpec MakeEntryWatcher(FleetContext& context);
/// Creates the service that observes the owner of each pool.
ChildSpec MakeOwnerWatcher(FleetContext& context);
/// Creates the service that observes releases of pools as soon as they are committed.
ChildSpec MakeReleaseWatcher(FleetContext& context);
/// Updates the observed owner of a pool, unless a newer version of the row is known.
/// @param row of the table `owners` or `releases`.
void ObserveOwner(FleetContext& context, const Row& row);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_WATCH_WATCHERS_H_
