#include "document/settings.h"

#include <array>

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr std::string_view kPath = "path";
constexpr std::array<std::string_view, 4> kLogLevels{"debug", "info", "warning", "error"};

constexpr std::array<Field<Settings>, 13> kFields{{
    {"id", RequiredName<&Settings::id>(), "", "Identifies this entry."},
    {"data_centre", RequiredName<&Settings::data_centre>(), "", "Data centre of this entry."},
    {"environment", RequiredName<&Settings::environment>(), "",
     "Environment whose document is in force on this entry."},
    {"caller_listener", EndpointType<Settings>{&Settings::caller_listener}, "",
     "Listener for callers, behind the load balancer."},
    {"admin_listener", EndpointType<Settings>{&Settings::admin_listener}, "",
     "Listener for operators and health checks."},
    {"peer_listener", EndpointType<Settings>{&Settings::peer_listener}, "",
     "Listener for the other entries, which connect to exactly this address."},
    {"platform_url",
     TextOf<&Settings::platform_url>(&CheckUrl, "URL with an IP address and a port",
                                     Presence::kRequired),
     "", "Base URL of the platform's table service, object store and instance list."},
    {"platform_token_file", TextOf<&Settings::platform_token_file>(&CheckText, kPath), "",
     "File with the bearer token for the platform."},
    {"operator_token_file", TextOf<&Settings::operator_token_file>(&CheckText, kPath), "",
     "File with the bearer token that operators present. Required when `admin_listener` is not on "
     "loopback."},
    {"peer_key_file", TextOf<&Settings::peer_key_file>(&CheckText, kPath), "",
     "File with the CURVE key pair of this entry. Required when `peer_listener` is not on "
     "loopback."},
    {"tls_certificate_file", TextOf<&Settings::tls_certificate_file>(&CheckText, kPath), "",
     "PEM certificate chain of the caller and admin listeners. Needs `tls_key_file`."},
    {"tls_key_file", TextOf<&Settings::tls_key_file>(&CheckText, kPath), "",
     "PEM private key of the caller and admin listeners. Needs `tls_certificate_file`."},
    {"log_level",
     ChoiceType<Settings>{
         .names = kLogLevels,
         .get =
             [](const Settings& settings) {
               return static_cast<size_t>(
                   std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level) -
                   kLogLevels.begin());
             },
         .assign = [](Settings& settings,
                      size_t index) { settings.log_level = std::string(kLogLevels[index]); }},
     "", "Least severe log lines that are written."},
}};

bool IsLoopback(const Endpoint& endpoint) {
  return endpoint.address.starts_with("127.") || endpoint.address == "::1";
}

bool IsWildcard(const Endpoint& endpoint) {
  return endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

bool Overlap(const Endpoint& a, const Endpoint& b) {
  // With port 0 the kernel assigns a different port to each listener.
  if (a.port != b.port || a.port == 0) return false;
  return a.address == b.address || IsWildcard(a) || IsWildcard(b);
}

std::vector<ValidationError> RequireSeparateListeners(const Settings& settings) {
  struct Listener {
    std::string_view key;
    Endpoint Settings::*endpoint;
  };
  static constexpr std::array<Listener, 3> kListeners{
      {{"caller_listener", &Settings::caller_listener},
       {"admin_listener", &Settings::admin_listener},
       {"peer_listener", &Settings::peer_listener}}};
  std::vector<ValidationError> errors;
  for (size_t i = 0; i < kListeners.size(); ++i) {
    for (size_t j = 0; j < i; ++j) {
      if (!Overlap(settings.*kListeners[i].endpoint, settings.*kListeners[j].endpoint)) continue;
      errors.push_back(
          {std::string(kListeners[i].key), "is the endpoint of " + std::string(kListeners[j].key) +
                                               " too; each listener needs an endpoint of its own"});
    }
  }
  return errors;
}

std::vector<ValidationError> RequirePeerAddress(const Settings& settings) {
  if (!IsWildcard(settings.peer_listener)) return {};
  return {{"peer_listener", "must be the address that other entries connect to, not a wildcard"}};
}

std::vector<ValidationError> RequirePeerKey(const Settings& settings) {
  const Endpoint& peer = settings.peer_listener;
  if (peer.address.empty() || IsLoopback(peer) || !settings.peer_key_file.empty()) return {};
  return {{"peer_key_file", "is missing; it is required when peer_listener is not on loopback"}};
}

std::vector<ValidationError> RequireOperatorToken(const Settings& settings) {
  const Endpoint& admin = settings.admin_listener;
  if (admin.address.empty() || IsLoopback(admin) || !settings.operator_token_file.empty()) {
    return {};
  }
  return {
      {"operator_token_file", "is missing; it is required when admin_listener is not on loopback"}};
}

std::vector<ValidationError> RequireCertificateWithKey(const Settings& settings) {
  if (settings.tls_certificate_file.empty() == settings.tls_key_file.empty()) return {};
  if (settings.tls_key_file.empty()) {
    return {{"tls_key_file", "is missing; tls_certificate_file needs it"}};
  }
  return {{"tls_certificate_file", "is missing; tls_key_file needs it"}};
}

using SettingsRule = std::vector<ValidationError> (*)(const Settings&);
constexpr std::array<SettingsRule, 5> kRules{&RequireSeparateListeners, &RequirePeerAddress,
                                             &RequirePeerKey, &RequireOperatorToken,
                                             &RequireCertificateWithKey};

}  // namespace

std::span<const Field<Settings>> SettingsFields() { return kFields; }

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  return boost::leaf::try_handle_all(
      [&]() -> Parsed<std::optional<Endpoint>> {
        BOOST_LEAF_AUTO(endpoint, ParseAddressAndPort(text));
        return std::optional<Endpoint>(std::move(endpoint));
      },
      []() -> std::optional<Endpoint> { return std::nullopt; });
}

Ret CheckHttpUrl(std::string_view text) {
  return boost::leaf::try_handle_all(
      [&]() -> Parsed<Ret> {
        BOOST_LEAF_CHECK(CheckUrl(text));
        return MakeOk();
      },
      [](const ValueError& error) { return Ret(ErrorCode::kInvalidArgument, error.message); },
      [] { return Ret(ErrorCode::kInvalidArgument, "is not valid"); });
}

SettingsResult ParseSettings(std::string_view text) {
  SettingsResult result;
  ProblemCollector problems;
  if (const auto table = ParseToml(text, problems)) {
    TomlReader root(*table, "", problems);
    result.settings = ReadFields(root, SettingsFields());
    root.RejectUnknownKeys();
    const auto reported = problems.ReportedPaths();
    for (const SettingsRule rule : kRules) {
      for (const ValidationError& error : rule(result.settings)) {
        if (!reported.contains(error.key)) problems.Report(error.key, error.message);
      }
    }
  }
  result.problems = problems.TakeSorted();
  return result;
}

}  // namespace citronferry::document
