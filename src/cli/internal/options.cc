#include "cli/internal/options.h"

#include <iostream>

#include "cli/cli.h"

namespace citronferry::cli {

ParsedOptions ParseOptions(cxxopts::Options& options, std::span<char*> arguments) {
  options.add_options()("help", "print this help");
  try {
    cxxopts::ParseResult values =
        options.parse(static_cast<int>(arguments.size()), arguments.data());
    if (values.count("help") > 0) {
      std::cout << options.help();
      return {.values = std::nullopt, .exit_code = kExitOk};
    }
    return {.values = std::move(values)};
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "citronferry " << arguments[0] << ": " << error.what() << '\n';
    return {.values = std::nullopt, .exit_code = kExitUsage};
  }
}

}  // namespace citronferry::cli
