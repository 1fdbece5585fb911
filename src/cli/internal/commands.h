#ifndef CITRONFERRY_CLI_INTERNAL_COMMANDS_H_
#define CITRONFERRY_CLI_INTERNAL_COMMANDS_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "document/document.h"

namespace citronferry::cli {

/// A subcommand receives its own arguments, its name first, and returns the exit code.
using Command = int (*)(std::span<char*> arguments);

int RunServe(std::span<char*> arguments);
int RunReplay(std::span<char*> arguments);
int RunCheck(std::span<char*> arguments);
int RunVersion(std::span<char*> arguments);

/// @return the content of a file, or nothing after printing why it can not be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Prints each problem as "file:line: key: message" on standard error.
void PrintProblems(std::string_view file, std::span<const document::Problem> problems);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_COMMANDS_H_
