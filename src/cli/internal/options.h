#ifndef CITRONFERRY_CLI_INTERNAL_OPTIONS_H_
#define CITRONFERRY_CLI_INTERNAL_OPTIONS_H_

#include <cxxopts.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace citronferry::cli {

/// Result of parsing the command line of a subcommand.
struct ParsedOptions {
  std::optional<cxxopts::ParseResult> values;  ///< Empty if the command must exit.
  int exit_code = 0;                           ///< Exit code if `values` is empty.
};

/// Parses the command line of a subcommand. Prints the help if requested, or an error.
/// @param arguments arguments of the subcommand, starting with its name.
ParsedOptions ParseOptions(cxxopts::Options& options, std::span<char*> arguments);

/// @return the value of an option, or nothing if it is absent.
std::optional<std::string> FindOption(const cxxopts::ParseResult& values, const std::string& name);

/// Returns the value of a required option. Prints an error if it is absent.
/// @param command name of the subcommand, for the error message.
std::optional<std::string> RequireOption(const cxxopts::ParseResult& values,
                                         std::string_view command, const std::string& name);

/// URL and credentials of a server that a subcommand connects to.
struct ServerAccess {
  std::string url;    ///< Base URL without a trailing slash.
  std::string token;  ///< Bearer token; empty sends none.
};

/// Adds the options --NAME, for the URL of a server, and --token-file.
/// @param description what the URL identifies.
void AddServerOptions(cxxopts::Options& options, const std::string& name,
                      const std::string& description);

/// Result of ReadServerOptions.
struct ParsedServer {
  std::optional<ServerAccess> access;  ///< Empty if the command must exit.
  int exit_code = 0;                   ///< Exit code if `access` is empty.
};

/// Reads the options that AddServerOptions added. Prints an error if one is missing or not valid.
/// @param command name of the subcommand, for error messages.
ParsedServer ReadServerOptions(const cxxopts::ParseResult& values, std::string_view command,
                               const std::string& name);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_OPTIONS_H_
