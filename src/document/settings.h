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

/// Settings of one process: where it is and whom it talks to. Behaviour is set by the document.
struct Settings {
  EntryId id;
  DataCentreName data_centre;
  std::string environment;
  Endpoint caller_listener;
  Endpoint admin_listener;
  Endpoint peer_listener;
  std::string platform_url;
  std::string platform_token_file;
  std::string operator_token_file;
  std::string peer_key_file;  ///< CURVE key pair of this entry; empty only for loopback peers.
  std::string tls_certificate_file;
  std::string tls_key_file;
  std::string log_level = "info";
};

struct SettingsResult {
  Settings settings;
  std::vector<Problem> problems;
};

/// Parses and checks the settings of a process. Reports every fault at once.
SettingsResult ParseSettings(std::string_view text);

/// @return the endpoint of "IP:port" ("[IP]:port" for IPv6), or nothing if the text is not one.
///   Host names are not accepted.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// Checks a base URL: "http" or "https", an IP address and a port, without a path.
/// @return kInvalidArgument with what is allowed.
Ret CheckHttpUrl(std::string_view text);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_SETTINGS_H_
