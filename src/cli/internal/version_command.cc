#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/options.h"

namespace citronferry::cli {

int RunVersion(std::span<char*> arguments) {
  cxxopts::Options options("citronferry version", "Prints the version.");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  std::cout << "citronferry " CITRONFERRY_VERSION "\n";
  return kExitOk;
}

}  // namespace citronferry::cli
