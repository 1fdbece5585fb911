#include <unistd.h>

#include <QCoreApplication>
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string_view>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/files.h"
#include "cli/internal/options.h"
#include "fleet/fleet_node.h"
#include "node/node_context.h"
#include "platform/platform_module.h"
#include "telemetry/log.h"

namespace citronferry::cli {
namespace {

// Longer than a takeover, which takes about 3.3 s, so that running work survives it; see
// docs/platform.md, "Ownership".
constexpr Duration kExecutorLease = 5s;
// Added to the time for which the platform requires final states to be reported.
constexpr Duration kRetentionMargin = 10s;
constexpr uint16_t kMetricsPort = 9464;

std::optional<scheduling::RunTimeUse> ParseRunTimeUse(std::string_view text) {
  if (text == "learned") return scheduling::RunTimeUse::kLearned;
  if (text == "declared") return scheduling::RunTimeUse::kDeclared;
  return std::nullopt;
}

fleet::FleetOptions MakeOptions(const platform::NodeSettings& settings,
                                scheduling::RunTimeUse run_times) {
  const Duration cancellation_bound = settings.cancellation_bound > Duration::zero()
                                          ? settings.cancellation_bound
                                          : fleet::FleetOptions().cancellation_bound;
  return {.name = settings.name,
          .incarnation = node::RandomToken(),
          .client_listener = settings.client_listener,
          .readiness_listener = settings.readiness_listener,
          .metrics_listener = {.address = settings.ip, .port = kMetricsPort},
          .relay_listener = settings.relay_listener,
          .relay_keys = peering::GenerateKeys(),
          .cores = settings.cores,
          .link_mbps = settings.link_mbps,
          .memory_mb = settings.memory_mb,
          .max_descriptors = settings.max_descriptors,
          .strict_revocation = settings.strict_revocation,
          .revocation_bound = settings.revocation_bound,
          .configuration_bound = settings.configuration_bound,
          .cancellation_bound = cancellation_bound,
          .quota_burst = settings.quota_burst,
          .run_times = run_times,
          .executor_lease = std::min(kExecutorLease, settings.max_executor_lease),
          .longest_executor_lease = settings.max_executor_lease,
          .status_retention = settings.min_status_retention + kRetentionMargin,
          .shutdown_grace = settings.shutdown_grace,
          .holder_change_interval = settings.holder_change_interval};
}

RetVal<platform::NodeSettings> ReadSettings() {
  const char* path = std::getenv(platform::kSettingsVariable);
  if (!path) {
    return Ret(ErrorCode::kInvalidArgument,
               std::string(platform::kSettingsVariable) + " is not set");
  }
  const auto text = ReadFile(path);
  if (!text) return Ret(ErrorCode::kInvalidArgument, std::string(path) + " cannot be read");
  return platform::ParseNodeSettings(*text);
}

}  // namespace

int RunFleet(std::span<char*> arguments) {
  cxxopts::Options options("citronferry fleet",
                           "Runs an entry on the users' platform until SIGTERM or SIGINT. The "
                           "settings file is named by CITRONFERRY_BOOT.");
  options.add_options()("log-level", "debug, info, warning or error",
                        cxxopts::value<std::string>()->default_value("info"))(
      "run-times",
      "run times of tasks that decisions are based on: learned, or declared for comparisons",
      cxxopts::value<std::string>()->default_value("learned"));
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  const auto level = ParseLogLevel((*parsed.values)["log-level"].as<std::string>());
  if (!level) {
    std::cerr << "citronferry fleet: unknown log level\n";
    return kExitUsage;
  }
  const auto run_times = ParseRunTimeUse((*parsed.values)["run-times"].as<std::string>());
  if (!run_times) {
    std::cerr << "citronferry fleet: unknown run times\n";
    return kExitUsage;
  }
  InitBoundedLogging(*level, STDOUT_FILENO);
  const auto settings = ReadSettings();
  if (!settings.ok()) {
    Log(LogLevel::kError, "settings_invalid", {{"error", settings.ret().message()}});
    FlushLog();
    return kExitInvalid;
  }
  // The GLib event loop has no benefit here and costs memory.
  qputenv("QT_NO_GLIB", "1");
  int argc = 1;
  QCoreApplication application(argc, arguments.data());
  platform::PlatformModule adapters(settings.value());
  fleet::PlatformServices platform_services{.rows = adapters.rows(),
                                            .announcements = adapters.announcements(),
                                            .executors = adapters.executors(),
                                            .adviser = adapters.adviser(),
                                            .instances = adapters.instances(),
                                            .clients = adapters.client_protocol(),
                                            .http = &adapters.http_client()};
  const Ret result =
      fleet::RunFleetNode(MakeOptions(settings.value(), *run_times), platform_services, [] {
        // The settings apply for the lifetime of the process, so changes take effect at the next
        // start. Changed settings are only validated here.
        const auto changed = ReadSettings();
        if (changed.ok()) return;
        Log(LogLevel::kError, "settings_invalid", {{"error", changed.ret().message()}});
      });
  FlushLog();
  return result.ok() ? kExitOk : kExitFailure;
}

}  // namespace citronferry::cli
