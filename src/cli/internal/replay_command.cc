#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/files.h"
#include "cli/internal/options.h"
#include "replay/replay.h"

namespace citronferry::cli {
namespace {

int ReplayFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) return kExitFailure;
  const replay::ReplayResult result = replay::ReplayTrace(*text);
  if (!result.error.empty()) {
    std::cerr << path << ": " << result.error << '\n';
    return kExitInvalid;
  }
  for (const replay::ExpectationResult& expectation : result.expectations) {
    std::cout << path << ':' << expectation.line << ": " << (expectation.met ? "met" : "NOT MET")
              << ": " << expectation.description << '\n';
  }
  return result.ok() ? kExitOk : kExitFailure;
}

}  // namespace

int RunReplay(std::span<char*> arguments) {
  cxxopts::Options options(
      "citronferry replay",
      "Replays recorded traces through the decision logic in virtual time and checks "
      "the expected outcomes.");
  options.add_options()("traces", "trace files, with one JSON object per line",
                        cxxopts::value<std::vector<std::string>>());
  options.parse_positional("traces");
  options.positional_help("TRACE...");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  if (parsed.values->count("traces") == 0) {
    std::cerr << "citronferry replay: a trace is required\n";
    return kExitUsage;
  }
  int exit_code = kExitOk;
  for (const std::string& path : (*parsed.values)["traces"].as<std::vector<std::string>>()) {
    exit_code = std::max(exit_code, ReplayFile(path));
  }
  return exit_code;
}

}  // namespace citronferry::cli
