#include "platform/settings.h"

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <sstream>

#include "base/toml.h"
#include "json/reader.h"

namespace citronferry::platform {
namespace {

constexpr double kMaxCount = 1e9;
constexpr double kDefaultQuotaBurst = 0.1;

// Reads typed values and collects all errors.
class SettingsReader {
 public:
  explicit SettingsReader(const toml::table& table) : m_table(table) {}

  std::string Text(std::string_view path) {
    const auto value = m_table.at_path(path).value<std::string>();
    if (!value || value->empty()) AddError(path, "is missing, empty or not a string");
    return value.value_or("");
  }

  // Reads an IP address with a port. Without a valid one it adds an error and returns nothing.
  std::optional<document::Endpoint> Endpoint(std::string_view path) {
    auto endpoint = document::ParseEndpoint(m_table.at_path(path).value_or(std::string()));
    if (endpoint && endpoint->port != 0) return endpoint;
    AddError(path, "is not an IP address with a port");
    return std::nullopt;
  }

  document::Endpoint Listener(std::string_view path) {
    return Endpoint(path).value_or(document::Endpoint{});
  }

  // Reads the address of a dependency, which may be absent if it is not required.
  std::string Address(std::string_view path, bool required) {
    std::string text = m_table.at_path(path).value_or(std::string());
    if (required || !text.empty()) Endpoint(path);
    return text;
  }

  uint16_t Port(std::string_view path) {
    const int64_t port = m_table.at_path(path).value_or(int64_t{0});
    if (port > 0 && port <= std::numeric_limits<uint16_t>::max())
      return static_cast<uint16_t>(port);
    AddError(path, "is not a port");
    return 0;
  }

  double Positive(std::string_view path) { return PositiveNumber(path); }
  // Reads a number that is not negative, or the default if it is absent.
  double NotNegative(std::string_view path, double absent) {
    const auto node = m_table.at_path(path);
    if (!node) return absent;
    const auto value = node.value<double>();
    if (value && *value >= 0 && std::isfinite(*value)) return *value;
    AddError(path, "is not a number of at least 0");
    return absent;
  }
  int64_t Count(std::string_view path) {
    const double value = NotNegative(path, 0);
    if (value <= kMaxCount) return static_cast<int64_t>(value);
    AddError(path, "is too large");
    return 0;
  }
  bool Boolean(std::string_view path) {
    const auto node = m_table.at_path(path);
    if (node && !node.is_boolean()) AddError(path, "is not true or false");
    return node.value_or(false);
  }
  Duration OptionalMilliseconds(std::string_view path) {
    const double seconds = NotNegative(path, 0) * ToSeconds(1ms);
    if (seconds <= ToSeconds(json::kMaxInterval)) return FromSeconds(seconds);
    AddError(path, "is longer than a year");
    return {};
  }
  Duration Seconds(std::string_view path) { return Interval(path, 1s); }
  Duration Milliseconds(std::string_view path) { return Interval(path, 1ms); }

  Ret ret() const {
    return m_errors.empty() ? MakeOk() : Ret(ErrorCode::kInvalidArgument, m_errors);
  }

 private:
  Duration Interval(std::string_view path, Duration unit) {
    const double seconds = PositiveNumber(path) * ToSeconds(unit);
    if (seconds <= ToSeconds(json::kMaxInterval)) return FromSeconds(seconds);
    AddError(path, "is longer than a year");
    return {};
  }

  double PositiveNumber(std::string_view path) {
    const auto value = m_table.at_path(path).value<double>();
    const bool valid = value && *value > 0 && std::isfinite(*value);
    if (!valid) AddError(path, "is missing or not a positive number");
    return valid ? *value : 0;
  }

  void AddError(std::string_view path, std::string_view error) {
    if (!m_errors.empty()) m_errors += "; ";
    m_errors += std::string(path) + " " + std::string(error);
  }

  const toml::table& m_table;
  std::string m_errors;
};

}  // namespace

RetVal<NodeSettings> ParseNodeSettings(std::string_view toml_text) {
  const toml::parse_result parsed = toml::parse(toml_text);
  if (!parsed) {
    std::ostringstream message;
    message << parsed.error().description() << " at line " << parsed.error().source().begin.line;
    return Ret(ErrorCode::kInvalidArgument, message.str());
  }
  SettingsReader reader(parsed.table());
  NodeSettings settings;
  settings.name = reader.Text("nodeName");
  settings.ip = reader.Text("ip");
  settings.data_centre = DataCentreName(reader.Text("zone"));
  settings.client_listener = reader.Listener("listen.front");
  settings.readiness_listener = reader.Listener("listen.readiness");
  settings.store_address = reader.Address("platform.address", true);
  settings.instances_address = reader.Address("cloudApi.address", false);
  settings.adviser_address = reader.Address("advice", false);
  settings.heartbeat = reader.Milliseconds("heartbeatMs");
  settings.max_executor_lease = reader.Milliseconds("bounds.maxHoldMs");
  settings.shutdown_grace = reader.Seconds("bounds.graceS");
  settings.min_status_retention = reader.Seconds("bounds.status_s");
  settings.holder_change_interval = reader.Milliseconds("bounds.leaseTtlMs");
  settings.stop_grace = reader.Milliseconds("bounds.stopGraceMs");
  // cpuShare is a share of one core, and cores is how many times as fast as a usual core it is.
  settings.cores = reader.Positive("limits.cpuShare") * reader.Positive("limits.cores");
  settings.link_mbps = reader.Positive("limits.linkMbps");
  settings.memory_mb = reader.Count("limits.memoryMb");
  settings.max_descriptors = reader.Count("limits.maxFds");
  settings.strict_revocation = reader.Boolean("bounds.strictRevoke");
  settings.revocation_bound = reader.OptionalMilliseconds("bounds.revokeMs");
  settings.configuration_bound = reader.OptionalMilliseconds("bounds.configApplyMs");
  settings.cancellation_bound = reader.OptionalMilliseconds("bounds.cancel_ms");
  settings.quota_burst = reader.NotNegative("bounds.quotaBurst", kDefaultQuotaBurst);
  settings.relay_listener = {.address = settings.ip, .port = reader.Port("portRange[0]")};
  if (Ret ret = reader.ret(); !ret) return ret;
  return settings;
}

}  // namespace citronferry::platform
