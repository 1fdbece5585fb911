#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/files.h"
#include "cli/internal/options.h"
#include "document/reference.h"

namespace citronferry::cli {

int RunCheck(std::span<char*> arguments) {
  cxxopts::Options options("citronferry check",
                           "Validates a document offline. Reports all errors at once.");
  options.add_options()("document", "the TOML document", cxxopts::value<std::string>())(
      "list-keys", "print a reference of all keys instead");
  options.parse_positional("document");
  options.positional_help("DOCUMENT");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  if (parsed.values->count("list-keys") > 0) {
    std::cout << document::RenderReference();
    return kExitOk;
  }
  const auto path = RequireOption(*parsed.values, "check", "document");
  if (!path) return kExitUsage;
  const auto text = ReadFile(*path);
  if (!text) return kExitFailure;
  if (!ParseAndReport(*path, *text)) return kExitInvalid;
  std::cout << *path << ": valid\n";
  return kExitOk;
}

}  // namespace citronferry::cli
