#include <iostream>
#include <string>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/options.h"
#include "node/node_context.h"

namespace citronferry::cli {

int RunHashToken(std::span<char*> arguments) {
  cxxopts::Options options("citronferry hash-token",
                           "Reads a bearer token from the first line of standard input and prints "
                           "its SHA-256 for token_sha256 in a document.");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  std::string token;
  std::getline(std::cin, token);
  if (token.ends_with('\r')) token.pop_back();
  if (token.empty()) {
    std::cerr << "citronferry hash-token: standard input contains no token in the first line\n";
    return kExitInvalid;
  }
  std::cout << node::Sha256Hex(token) << '\n';
  return kExitOk;
}

}  // namespace citronferry::cli
