#ifndef CITRONFERRY_CLI_INTERNAL_PUBLISH_COMMAND_H_
#define CITRONFERRY_CLI_INTERNAL_PUBLISH_COMMAND_H_

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cli/internal/options.h"
#include "cli/internal/publisher.h"

namespace citronferry::cli {

/// Environments that apply and promote write. Entries of others need a row written by hand.
inline constexpr char kTrial[] = "trial";
inline constexpr char kProduction[] = "production";

/// Options that apply and promote share.
struct PublishOptions {
  ServerAccess platform;
  std::string author;
  std::optional<uint64_t> base;
  bool dry_run = false;
};

struct ParsedPublishOptions {
  std::optional<PublishOptions> options;  ///< Empty when the command must end now.
  int exit_code = 0;
};

void AddPublishOptions(cxxopts::Options& options);
ParsedPublishOptions ReadPublishOptions(const cxxopts::ParseResult& values,
                                        std::string_view command);

/// Shows the difference and writes the change unless it is a dry run.
/// @return the exit code.
QCoro::Task<int> ShowAndPublish(Publisher& publisher, PublishRequest request, bool dry_run);

/// Prints a failure on standard error.
/// @return the exit code.
int ReportFailure(const Ret& ret);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_PUBLISH_COMMAND_H_
