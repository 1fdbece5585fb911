#ifndef CITRONFERRY_CLI_CLI_H_
#define CITRONFERRY_CLI_CLI_H_

#include <span>

namespace citronferry::cli {

/// Exit codes of the program.
enum ExitCode {
  kExitOk = 0,
  kExitFailure = 1,  ///< The command failed, for example because a server was unavailable.
  kExitUsage = 2,    ///< The command line is not valid.
  kExitInvalid = 3   ///< The input of the command, such as a document, is not valid.
};

/// Runs the subcommand that is named by the first argument.
/// @param arguments arguments of main, including the program name.
/// @return the exit code.
int RunCli(std::span<char*> arguments);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_CLI_H_
