#include <sodium.h>

#include <QCoreApplication>
#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/files.h"
#include "cli/internal/options.h"
#include "document/settings.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace citronferry::cli {

int RunServe(std::span<char*> arguments) {
  cxxopts::Options options("citronferry serve", "Runs an entry until SIGTERM or SIGINT.");
  options.add_options()("settings", "the TOML settings of this process",
                        cxxopts::value<std::string>());
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  if (parsed.values->count("settings") == 0) {
    std::cerr << "citronferry serve: --settings is required\n";
    return kExitUsage;
  }
  const auto path = (*parsed.values)["settings"].as<std::string>();
  const auto text = ReadFile(path);
  if (!text) return kExitFailure;
  const document::SettingsResult settings = document::ParseSettings(*text);
  PrintProblems(path, settings.problems);
  if (!settings.problems.empty()) return kExitInvalid;
  if (sodium_init() < 0) {
    std::cerr << "citronferry serve: cannot initialise libsodium\n";
    return kExitFailure;
  }
  InitLogging(ParseLogLevel(settings.settings.log_level).value_or(LogLevel::kInfo), std::clog);
  // The GLib event loop has no benefit here and costs memory.
  qputenv("QT_NO_GLIB", "1");
  int argc = 1;
  QCoreApplication application(argc, arguments.data());
  const Ret result = node::RunNode(settings.settings);
  return result.ok() ? kExitOk : kExitFailure;
}

}  // namespace citronferry::cli
