#ifndef CITRONFERRY_CLI_INTERNAL_PUBLISH_COMMAND_H_
#define CITRONFERRY_CLI_INTERNAL_PUBLISH_COMMAND_H_

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cli/internal/options.h"
#include "cli/internal/publisher.h"

namespace citronferry::cli {

/// Environments that apply and promote write to. The configuration rows of other environments have
/// to be written by hand.
inline constexpr char kTrialEnvironment[] = "trial";
inline constexpr char kProductionEnvironment[] = "production";

/// Options common to apply and promote.
struct PublishOptions {
  ServerAccess platform;
  std::string author;            ///< Name that is recorded with the change.
  std::optional<uint64_t> base;  ///< Version that must be active; absent accepts any version.
  bool dry_run = false;          ///< Shows the changes without writing them.
};

/// Result of ReadPublishOptions.
struct ParsedPublishOptions {
  std::optional<PublishOptions> options;  ///< Empty if the command must exit.
  int exit_code = 0;                      ///< Exit code if `options` is empty.
};

/// Adds the options common to apply and promote.
void AddPublishOptions(cxxopts::Options& options);

/// Reads the options that AddPublishOptions added. Prints an error if one is missing or not valid.
/// @param command name of the subcommand, for error messages.
ParsedPublishOptions ReadPublishOptions(const cxxopts::ParseResult& values,
                                        std::string_view command);

/// Shows the changes to the active document and writes them unless it is a dry run.
/// @return the exit code.
QCoro::Task<int> ShowAndPublish(Publisher& publisher, PublishRequest request, bool dry_run);

/// Prints an error on standard error.
/// @return the exit code.
int ReportFailure(const Ret& ret);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_PUBLISH_COMMAND_H_
