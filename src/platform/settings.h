#ifndef CITRONFERRY_PLATFORM_SETTINGS_H_
#define CITRONFERRY_PLATFORM_SETTINGS_H_

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/ret.h"
#include "base/time.h"
#include "document/settings.h"

namespace citronferry::platform {

/// Environment variable that holds the path of the settings file.
inline constexpr const char* kSettingsVariable = "CITRONFERRY_BOOT";

/// Settings of one process, as the platform writes them.
struct NodeSettings {
  std::string name;
  std::string ip;
  DataCentreName data_centre;
  document::Endpoint client_listener;  ///< Where clients reach the entry.
  document::Endpoint
      readiness_listener;  ///< Where the balancer asks whether the entry takes connections.
  std::string store_address;
  std::string instances_address;
  std::string adviser_address;  ///< Empty if there is no placement adviser.
  Duration heartbeat{};
  Duration max_executor_lease{};      ///< Executors shorten longer leases to this.
  Duration shutdown_grace{};          ///< From SIGTERM to SIGKILL.
  Duration min_status_retention{};    ///< Final states are shown for at least this long.
  Duration holder_change_interval{};  ///< Least time between orders of two holders to one instance.
  Duration stop_grace{};              ///< Longest time that a task takes to stop.
  double cores = 0;                   ///< Processor that the entry may use.
};

/// Reads and checks the settings.
/// @return kInvalidArgument with every fault that was found.
RetVal<NodeSettings> ParseNodeSettings(std::string_view toml_text);

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_SETTINGS_H_
