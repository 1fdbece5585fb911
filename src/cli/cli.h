#ifndef CITRONFERRY_CLI_CLI_H_
#define CITRONFERRY_CLI_CLI_H_

#include <span>

namespace citronferry::cli {

/// Exit codes of the binary.
enum ExitCode { kExitOk = 0, kExitFailure = 1, kExitUsage = 2, kExitInvalid = 3 };

/// Runs the subcommand that the arguments name.
/// @param arguments arguments of main, the program's name included.
/// @return the exit code.
int RunCli(std::span<char*> arguments);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_CLI_H_
