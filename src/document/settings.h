#ifndef CITRONFERRY_DOCUMENT_SETTINGS_H_
#define CITRONFERRY_DOCUMENT_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "document/document.h"

namespace citronferry::document {

/// An IP address and a port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;
};

/// Settings of one process: its identity, its listeners and the services that it connects to.
/// Scheduling and maintenance are configured by the document, not here.
struct Settings {
  EntryId id;
  DataCentreName data_centre;
  std::string environment;   ///< Environment whose document is active on this entry.
  Endpoint caller_listener;  ///< For callers, behind the load balancer.
  Endpoint admin_listener;   ///< For operators and health checks.
  Endpoint peer_listener;    ///< For the other entries.
  std::string platform_url;  ///< Base URL of the table service, object store and instance list.
  std::string platform_token_file;
  std::string operator_token_file;
  std::string peer_key_file;  ///< CURVE key pair of this entry; empty only for loopback peers.
  std::string tls_certificate_file;
  std::string tls_key_file;
  std::string log_level = "info";
};

struct SettingsResult {
  Settings settings;  ///< Valid only if there are no problems.
  std::vector<Problem> problems;
};

/// Parses and validates the settings of a process. Reports all errors at once, ordered by line.
/// @param text the settings in TOML.
SettingsResult ParseSettings(std::string_view text);

/// Parses "IP:port", or "[IP]:port" for IPv6. Host names are not accepted.
/// @return the endpoint, or nothing if the text is not valid.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// Validates a base URL: "http" or "https", an IP address and a port, without a path.
/// @return kInvalidArgument with a message that states what is allowed, if the URL is not valid.
Ret CheckHttpUrl(std::string_view text);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_SETTINGS_H_
