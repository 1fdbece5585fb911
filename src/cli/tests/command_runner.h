#ifndef CITRONFERRY_CLI_TESTS_COMMAND_RUNNER_H_
#define CITRONFERRY_CLI_TESTS_COMMAND_RUNNER_H_

#include <gtest/gtest.h>

#include <QTemporaryDir>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/cli.h"

namespace citronferry::cli {

/// Exit code and output of a command.
struct CommandResult {
  int exit_code = 0;
  std::string out;
  std::string err;
};

/// Runs a command in this process. HTTP servers of the test run on the same event loop.
/// @param arguments the command and its options, without the program name.
inline CommandResult RunCommand(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "citronferry");
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  ::testing::internal::CaptureStdout();
  ::testing::internal::CaptureStderr();
  const int exit_code = RunCli(pointers);
  std::string out = ::testing::internal::GetCapturedStdout();
  std::string err = ::testing::internal::GetCapturedStderr();
  return {.exit_code = exit_code, .out = std::move(out), .err = std::move(err)};
}

/// Writes a temporary file, which is removed when the process exits.
/// @return the path of the file.
inline std::string WriteFile(std::string_view name, std::string_view content) {
  static const QTemporaryDir kDirectory;
  std::string path = kDirectory.path().toStdString() + "/" + std::string(name);
  std::ofstream(path, std::ios::binary) << content;
  return path;
}

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_TESTS_COMMAND_RUNNER_H_
