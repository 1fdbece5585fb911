#ifndef CITRONFERRY_FLEET_FLEET_NODE_H_
#define CITRONFERRY_FLEET_FLEET_NODE_H_

#include <functional>

#include "base/ret.h"
#include "fleet/fleet_context.h"

namespace citronferry::fleet {

/// Runs an entry until SIGTERM or SIGINT, then drains it.
/// @param options of the entry.
/// @param platform services that the entry uses.
/// @param on_settings_changed called on SIGHUP.
/// @return success after a graceful shutdown, otherwise the error that ended the entry.
/// @note Needs a QCoreApplication and runs its event loop.
Ret RunFleetNode(const FleetOptions& options, PlatformServices& platform,
                 const std::function<void()>& on_settings_changed);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_FLEET_NODE_H_
