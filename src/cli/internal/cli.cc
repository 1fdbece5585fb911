#include "cli/cli.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <string_view>

#include "cli/internal/commands.h"

namespace citronferry::cli {
namespace {

struct CommandEntry {
  std::string_view name;
  std::string_view summary;
  Command run;
};

constexpr std::array<CommandEntry, 10> kCommands{{
    {"serve", "run an entry", &RunServe},
    {"fleet", "run an entry on the users' platform", &RunFleet},
    {"check", "validate a document offline", &RunCheck},
    {"apply", "make a document active in the trial environment", &RunApply},
    {"promote", "make the trial document active in production", &RunPromote},
    {"status", "show the status of an entry", &RunStatus},
    {"drain", "drain an entry and shut it down", &RunDrain},
    {"replay", "replay recorded traces and check the expected outcomes", &RunReplay},
    {"hash-token", "print the digest of a bearer token", &RunHashToken},
    {"version", "print the version", &RunVersion},
}};

void PrintUsage(std::ostream& out) {
  constexpr size_t kNameWidth = 12;
  out << "usage: citronferry COMMAND [OPTIONS]\n\ncommands:\n";
  for (const CommandEntry& command : kCommands) {
    out << "  " << command.name << std::string(kNameWidth - command.name.size(), ' ')
        << command.summary << '\n';
  }
  out << "\n'citronferry COMMAND --help' describes a command.\n";
}

}  // namespace

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
