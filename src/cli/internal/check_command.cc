#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/options.h"

namespace citronferry::cli {

int RunCheck(std::span<char*> arguments) {
  cxxopts::Options options("citronferry check", "Checks a document. Reports every fault at once.");
  options.add_options()("document", "the TOML document", cxxopts::value<std::string>());
  options.parse_positional("document");
  options.positional_help("DOCUMENT");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  if (parsed.values->count("document") == 0) {
    std::cerr << "citronferry check: a document is required\n";
    return kExitUsage;
  }
  const auto path = (*parsed.values)["document"].as<std::string>();
  const auto text = ReadFile(path);
  if (!text) return kExitFailure;
  const document::ParseResult result = document::ParseDocument(*text);
  PrintProblems(path, result.problems);
  if (!result.problems.empty()) return kExitInvalid;
  std::cout << path << ": valid\n";
  return kExitOk;
}

}  // namespace citronferry::cli
