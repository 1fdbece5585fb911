#ifndef CITRONFERRY_CLI_INTERNAL_OPTIONS_H_
#define CITRONFERRY_CLI_INTERNAL_OPTIONS_H_

#include <cxxopts.hpp>
#include <optional>
#include <span>

namespace citronferry::cli {

/// Result of parsing the options of a command.
struct ParsedOptions {
  std::optional<cxxopts::ParseResult> values;  ///< Empty when the command must end now.
  int exit_code = 0;
};

/// Parses the options of a command. Prints the help or the fault where needed.
ParsedOptions ParseOptions(cxxopts::Options& options, std::span<char*> arguments);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_OPTIONS_H_
