#ifndef CITRONFERRY_FLEET_RELAY_RELAY_SERVER_H_
#define CITRONFERRY_FLEET_RELAY_RELAY_SERVER_H_

#include "fleet/fleet_context.h"
#include "supervision/supervisor.h"

namespace citronferry::fleet {

/// Makes the service that carries out calls to executors for the owners of pools. It accepts calls
/// only from the entries that own a pool, by the keys in the rows of the owners.
/// @param executors used for the calls; has to outlive the service.
ChildSpec MakeRelayServer(FleetContext& context, Executors& executors);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_RELAY_RELAY_SERVER_H_
