#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/files.h"
#include "cli/internal/network_command.h"
#include "cli/internal/publish_command.h"

namespace citronferry::cli {

int RunApply(std::span<char*> arguments) {
  cxxopts::Options options(
      "citronferry apply",
      "Validates a document, shows its changes and makes it the active document of the trial "
      "environment. Safe to run again after a failure.");
  options.add_options()("document", "the TOML document", cxxopts::value<std::string>());
  options.parse_positional("document");
  options.positional_help("DOCUMENT");
  AddPublishOptions(options);
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  const auto path = RequireOption(*parsed.values, "apply", "document");
  if (!path) return kExitUsage;
  const ParsedPublishOptions publish = ReadPublishOptions(*parsed.values, "apply");
  if (!publish.options) return publish.exit_code;
  const auto text = ReadFile(*path);
  if (!text) return kExitFailure;
  const auto document = ParseAndReport(*path, *text);
  if (!document) return kExitInvalid;
  if (document->environment != kTrialEnvironment) {
    std::cerr << *path << ": environment must be \"trial\"; 'promote' changes production\n";
    return kExitInvalid;
  }
  return RunNetworkCommand([&]() -> QCoro::Task<int> {
    const auto timers = MakeQtTimerService();
    provider::ProviderModule platform(
        {.url = publish.options->platform.url, .token = publish.options->platform.token});
    Publisher publisher(platform, *timers);
    PublishRequest request{.environment = kTrialEnvironment,
                           .text = *text,
                           .author = publish.options->author,
                           .base = publish.options->base};
    co_return co_await ShowAndPublish(publisher, std::move(request), publish.options->dry_run);
  });
}

}  // namespace citronferry::cli
