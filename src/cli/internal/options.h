#ifndef CITRONFERRY_CLI_INTERNAL_OPTIONS_H_
#define CITRONFERRY_CLI_INTERNAL_OPTIONS_H_

#include <cxxopts.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace citronferry::cli {

/// Result of parsing the options of a command.
struct ParsedOptions {
  std::optional<cxxopts::ParseResult> values;  ///< Empty when the command must end now.
  int exit_code = 0;
};

/// Parses the options of a command. Prints the help or the fault where needed.
ParsedOptions ParseOptions(cxxopts::Options& options, std::span<char*> arguments);

/// @return the value of an option, or nothing if it was not given.
std::optional<std::string> FindOption(const cxxopts::ParseResult& values, const std::string& name);

/// @return the value of an option, or nothing after printing that it is required.
std::optional<std::string> RequireOption(const cxxopts::ParseResult& values,
                                         std::string_view command, const std::string& name);

/// A server that a command talks to.
struct ServerAccess {
  std::string url;    ///< Base URL without a trailing slash.
  std::string token;  ///< Bearer token; empty sends none.
};

/// Adds the options --NAME and --token-file.
void AddServerOptions(cxxopts::Options& options, const std::string& name,
                      const std::string& description);

/// Result of reading the options of a server.
struct ParsedServer {
  std::optional<ServerAccess> access;  ///< Empty when the command must end now.
  int exit_code = 0;
};

/// Reads the options of AddServerOptions. Prints what is missing or wrong.
ParsedServer ReadServerOptions(const cxxopts::ParseResult& values, std::string_view command,
                               const std::string& name);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_OPTIONS_H_
