#include "document/settings.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

#include "document/internal/toml_reader.h"

namespace citronferry::document {
namespace {

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

Endpoint ReadEndpoint(TomlReader& reader, std::string_view key) {
  const std::string text = reader.RequiredString(key);
  if (text.empty()) return {};
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) reader.Report(key, "must be an IP address and a port, such as \"127.0.0.1:7100\"");
  return endpoint.value_or(Endpoint{});
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view address = text.substr(0, colon);
  if (address.starts_with('[') && address.ends_with(']')) {
    address = address.substr(1, address.size() - 2);
  } else if (address.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size()) return std::nullopt;
  if (!IsIpAddress(std::string(address))) return std::nullopt;
  return Endpoint{.address = std::string(address), .port = port};
}

SettingsResult ParseSettings(std::string_view text) {
  SettingsResult result;
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    result.problems.push_back({.line = static_cast<int>(parsed.error().source().begin.line),
                               .key = "",
                               .message = std::string(parsed.error().description())});
    return result;
  }
  Settings& settings = result.settings;
  TomlReader root(parsed.table(), "", result.problems);
  settings.id = EntryId(root.RequiredString("id"));
  settings.data_centre = DataCentreName(root.RequiredString("data_centre"));
  settings.environment = root.RequiredString("environment");
  settings.caller_listener = ReadEndpoint(root, "caller_listener");
  settings.admin_listener = ReadEndpoint(root, "admin_listener");
  settings.peer_listener = ReadEndpoint(root, "peer_listener");
  settings.platform_url = root.RequiredString("platform_url");
  settings.platform_token_file = root.String("platform_token_file", "");
  settings.operator_token_file = root.String("operator_token_file", "");
  settings.peer_key_file = root.String("peer_key_file", "");
  settings.tls_certificate_file = root.String("tls_certificate_file", "");
  settings.tls_key_file = root.String("tls_key_file", "");
  settings.log_level = root.String("log_level", "info");
  root.RejectUnknownKeys();
  return result;
}

}  // namespace citronferry::document
