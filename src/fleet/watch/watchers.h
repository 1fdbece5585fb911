#ifndef CITRONFERRY_FLEET_WATCH_WATCHERS_H_
#define CITRONFERRY_FLEET_WATCH_WATCHERS_H_

#include "fleet/fleet_context.h"
#include "supervision/supervisor.h"

namespace citronferry::fleet {

/// Keeps the configuration and the waves of maintenance up to date.
ChildSpec MakeOperatorWatcher(FleetContext& context);
/// Keeps the registry of executors up to date while this entry owns a pool.
ChildSpec MakeRegistryWatcher(FleetContext& context);
/// Follows what the pools need while this entry owns one of them.
ChildSpec MakeDemandWatcher(FleetContext& context);
/// Observes who owns each pool.
ChildSpec MakeOwnerWatcher(FleetContext& context);
/// Notes who owns a pool, unless something newer is known.
/// @param row of the table `owners`.
void ObserveOwner(FleetContext& context, const Row& row);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_WATCH_WATCHERS_H_
