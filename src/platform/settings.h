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

/// Settings of one process, read from the TOML file that the platform writes.
struct NodeSettings {
  std::string name;
  std::string ip;
  DataCentreName data_centre;
  document::Endpoint client_listener;  ///< Address at which clients reach the entry.
  /// Address at which the load balancer probes the entry's readiness.
  document::Endpoint readiness_listener;
  std::string store_address;
  std::string instances_address;
  std::string adviser_address;  ///< Empty if there is no placement adviser.
  Duration heartbeat{};
  Duration max_executor_lease{};      ///< Executors clamp longer leases to this.
  Duration shutdown_grace{};          ///< Time from SIGTERM to SIGKILL.
  Duration min_status_retention{};    ///< Final job states stay readable for at least this.
  Duration holder_change_interval{};  ///< Minimum time between two holders' orders to an instance.
  Duration stop_grace{};              ///< Maximum time that a task takes to stop.
  double cores = 0;                   ///< CPU cores that the entry may use.
  double link_mbps = 0;               ///< Rate of the entry's link, in Mbit/s.
  int64_t memory_mb = 0;              ///< A process that uses more is killed; 0 if not stated.
  int64_t max_descriptors = 0;        ///< Files and sockets of the process; 0 if not stated.
  bool strict_revocation = false;     ///< Withdrawn API keys expire also on isolated entries.
  Duration revocation_bound{};        ///< From the withdrawal of a key to its last success.
  Duration configuration_bound{};     ///< Time in which a configuration takes effect everywhere.
  /// From the acknowledgement of a cancellation to the last start of a task; 0 if not stated.
  Duration cancellation_bound{};
  double quota_burst = 0;             ///< Share of a quota that may be exceeded.
  document::Endpoint relay_listener;  ///< Where other entries connect to use this one as a relay.
};

/// Parses and validates the settings.
/// @return kInvalidArgument with a message that lists every error.
RetVal<NodeSettings> ParseNodeSettings(std::string_view toml_text);

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_SETTINGS_H_
