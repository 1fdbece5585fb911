#ifndef CITRONFERRY_FLEET_ENTRY_ENTRY_SERVERS_H_
#define CITRONFERRY_FLEET_ENTRY_ENTRY_SERVERS_H_

#include <vector>

#include "fleet/fleet_context.h"
#include "supervision/supervisor.h"

namespace citronferry::fleet {

/// Creates the HTTP servers of an entry: for the clients' calls, for the readiness probes of the
/// load balancer, and for metrics.
std::vector<ChildSpec> MakeEntryServers(FleetContext& context);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_ENTRY_SERVERS_H_
