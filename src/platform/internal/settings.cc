#include "platform/settings.h"

#include <optional>
#include <sstream>

#include "base/toml.h"

namespace citronferry::platform {
namespace {

// Reads typed values and keeps every fault.
class SettingsReader {
 public:
  explicit SettingsReader(const toml::table& table) : m_table(table) {}

  std::string Text(std::string_view path) {
    const auto value = m_table.at_path(path).value<std::string>();
    if (!value || value->empty()) AddFault(path, "is missing or not a text");
    return value.value_or("");
  }

  // An IP address and port; nothing, with a fault, if there is none.
  std::optional<document::Endpoint> Endpoint(std::string_view path) {
    auto endpoint = document::ParseEndpoint(m_table.at_path(path).value_or(std::string()));
    if (endpoint && endpoint->port != 0) return endpoint;
    AddFault(path, "is not an IP address with a port");
    return std::nullopt;
  }

  document::Endpoint Listener(std::string_view path) {
    return Endpoint(path).value_or(document::Endpoint{});
  }

  // The address of a dependency; optional ones may be absent.
  std::string Address(std::string_view path, bool required) {
    std::string text = m_table.at_path(path).value_or(std::string());
    if (required || !text.empty()) Endpoint(path);
    return text;
  }

  double Positive(std::string_view path) { return PositiveNumber(path); }
  Duration Seconds(std::string_view path) { return FromSeconds(PositiveNumber(path)); }
  Duration Milliseconds(std::string_view path) { return FromSeconds(PositiveNumber(path) / 1000); }

  Ret ret() const {
    return m_faults.empty() ? MakeOk() : Ret(ErrorCode::kInvalidArgument, m_faults);
  }

 private:
  double PositiveNumber(std::string_view path) {
    const auto value = m_table.at_path(path).value<double>();
    if (!value || *value <= 0) AddFault(path, "is missing or not a positive number");
    return value.value_or(0);
  }

  void AddFault(std::string_view path, std::string_view fault) {
    if (!m_faults.empty()) m_faults += "; ";
    m_faults += std::string(path) + " " + std::string(fault);
  }

  const toml::table& m_table;
  std::string m_faults;
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
  // A share of a core that is this many times as fast as usual.
  settings.cores = reader.Positive("limits.cpuShare") * reader.Positive("limits.cores");
  if (Ret ret = reader.ret(); !ret) return ret;
  return settings;
}

}  // namespace citronferry::platform
