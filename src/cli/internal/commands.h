#ifndef CITRONFERRY_CLI_INTERNAL_COMMANDS_H_
#define CITRONFERRY_CLI_INTERNAL_COMMANDS_H_

#include <span>

namespace citronferry::cli {

/// Entry point of a subcommand.
/// @param arguments arguments of the subcommand, starting with its name.
/// @return the exit code.
using Command = int (*)(std::span<char*> arguments);

int RunServe(std::span<char*> arguments);
int RunFleet(std::span<char*> arguments);
int RunReplay(std::span<char*> arguments);
int RunCheck(std::span<char*> arguments);
int RunApply(std::span<char*> arguments);
int RunPromote(std::span<char*> arguments);
int RunStatus(std::span<char*> arguments);
int RunDrain(std::span<char*> arguments);
int RunHashToken(std::span<char*> arguments);
int RunVersion(std::span<char*> arguments);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_COMMANDS_H_
