#include "cli/cli.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/internal/commands.h"

namespace citronferry::cli {
namespace {

struct CommandEntry {
  std::string_view name;
  std::string_view summary;
  Command run;
};

constexpr std::array<CommandEntry, 4> kCommands{{
    {"serve", "run an entry", &RunServe},
    {"check", "check a document without any network", &RunCheck},
    {"replay", "replay recorded traces and compare the stated outcomes", &RunReplay},
    {"version", "print the version", &RunVersion},
}};

void PrintUsage(std::ostream& out) {
  out << "usage: citronferry COMMAND [OPTIONS]\n\ncommands:\n";
  for (const CommandEntry& command : kCommands) {
    out << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary
        << '\n';
  }
  out << "\n'citronferry COMMAND --help' describes a command.\n";
}

}  // namespace

int RunVersion(std::span<char*>) {
  std::cout << "citronferry " CITRONFERRY_VERSION "\n";
  return kExitOk;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

void PrintProblems(std::string_view file, std::span<const document::Problem> problems) {
  for (const document::Problem& problem : problems) {
    std::cerr << file << ':' << problem.line << ": ";
    if (!problem.key.empty()) std::cerr << problem.key << ' ';
    std::cerr << problem.message << '\n';
  }
}

int RunCli(std::span<char*> arguments) {
  if (arguments.size() < 2) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  const std::string_view name = arguments[1];
  if (name == "--help" || name == "help") {
    PrintUsage(std::cout);
    return kExitOk;
  }
  const auto* command = std::find_if(kCommands.begin(), kCommands.end(),
                                     [name](const auto& entry) { return entry.name == name; });
  if (command == kCommands.end()) {
    std::cerr << "citronferry: unknown command '" << name << "'\n";
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  return command->run(arguments.subspan(1));
}

}  // namespace citronferry::cli
