#ifndef CITRONFERRY_FLEET_POOL_POOLS_SERVICE_H_
#define CITRONFERRY_FLEET_POOL_POOLS_SERVICE_H_

#include "fleet/fleet_context.h"
#include "supervision/supervisor.h"

namespace citronferry::fleet {

/// Creates the service that runs an OwnerElector for each pool of the configuration.
ChildSpec MakePoolsService(FleetContext& context);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_POOLS_SERVICE_H_
