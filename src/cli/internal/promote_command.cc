#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/files.h"
#include "cli/internal/network_command.h"
#include "cli/internal/publish_command.h"

namespace citronferry::cli {
namespace {

/// Makes the active document of the trial environment the active one in production, without any
/// change to its text.
QCoro::Task<int> Promote(Publisher& publisher, PublishOptions options,
                         std::optional<uint64_t> trial_version) {
  const auto trial = co_await publisher.ReadRow(kTrialEnvironment);
  if (!trial.ok()) co_return ReportFailure(trial.ret());
  if (trial->version == 0) {
    std::cerr << "no document is active in the trial environment\n";
    co_return kExitFailure;
  }
  if (trial_version && *trial_version != trial->version) {
    std::cerr << "rejected: trial has version " << trial->version << " by " << trial->author
              << ", not version " << *trial_version << '\n';
    co_return kExitFailure;
  }
  const auto text = co_await publisher.ReadDocument(trial->digest);
  if (!text.ok()) co_return ReportFailure(text.ret());
  const auto document = ParseAndReport("trial", text.value());
  if (!document) co_return kExitInvalid;
  if (!document::AllowsEnvironment(*document, kProductionEnvironment)) {
    std::cerr << "rejected: the trial document does not set promote_to = \"production\"\n";
    co_return kExitInvalid;
  }
  std::cout << "trial: version " << trial->version << " by " << trial->author
            << " is to be promoted\n";
  PublishRequest request{.environment = kProductionEnvironment,
                         .text = text.value(),
                         .author = options.author,
                         .base = options.base};
  co_return co_await ShowAndPublish(publisher, std::move(request), options.dry_run);
}

}  // namespace

int RunPromote(std::span<char*> arguments) {
  cxxopts::Options options(
      "citronferry promote",
      "Shows what the trial document changes in production and makes it active there. Safe to run "
      "again after a failure.");
  AddPublishOptions(options);
  options.add_options()("trial-version", "version of the trial document that was reviewed",
                        cxxopts::value<uint64_t>(), "VERSION");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  const ParsedPublishOptions publish = ReadPublishOptions(*parsed.values, "promote");
  if (!publish.options) return publish.exit_code;
  std::optional<uint64_t> trial_version;
  if (parsed.values->count("trial-version") > 0) {
    trial_version = (*parsed.values)["trial-version"].as<uint64_t>();
  }
  return RunNetworkCommand([&]() -> QCoro::Task<int> {
    const auto timers = MakeQtTimerService();
    provider::ProviderModule platform(
        {.url = publish.options->platform.url, .token = publish.options->platform.token});
    Publisher publisher(platform, *timers);
    co_return co_await Promote(publisher, *publish.options, trial_version);
  });
}

}  // namespace citronferry::cli
