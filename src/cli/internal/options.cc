#include "cli/internal/options.h"

#include <iostream>

#include "cli/cli.h"
#include "cli/internal/files.h"
#include "document/settings.h"

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
    if (!values.unmatched().empty()) {
      std::cerr << "citronferry " << arguments[0] << ": unexpected argument '"
                << values.unmatched().front() << "'\n";
      return {.values = std::nullopt, .exit_code = kExitUsage};
    }
    return {.values = std::move(values)};
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "citronferry " << arguments[0] << ": " << error.what() << '\n';
    return {.values = std::nullopt, .exit_code = kExitUsage};
  }
}

std::optional<std::string> FindOption(const cxxopts::ParseResult& values, const std::string& name) {
  if (values.count(name) == 0) return std::nullopt;
  return values[name].as<std::string>();
}

std::optional<std::string> RequireOption(const cxxopts::ParseResult& values,
                                         std::string_view command, const std::string& name) {
  auto value = FindOption(values, name);
  if (!value) std::cerr << "citronferry " << command << ": " << name << " is required\n";
  return value;
}

void AddServerOptions(cxxopts::Options& options, const std::string& name,
                      const std::string& description) {
  options.add_options()(name, description + ", such as http://127.0.0.1:7100",
                        cxxopts::value<std::string>(), "URL")(
      "token-file", "file with the bearer token", cxxopts::value<std::string>(), "FILE");
}

ParsedServer ReadServerOptions(const cxxopts::ParseResult& values, std::string_view command,
                               const std::string& name) {
  const auto url = RequireOption(values, command, name);
  if (!url) return {.access = std::nullopt, .exit_code = kExitUsage};
  const Ret checked = document::CheckHttpUrl(*url);
  if (!checked) {
    std::cerr << "citronferry " << command << ": --" << name << ' ' << checked.message() << '\n';
    return {.access = std::nullopt, .exit_code = kExitUsage};
  }
  ServerAccess access{.url = *url, .token = {}};
  if (const auto path = FindOption(values, "token-file")) {
    const auto token = ReadTokenFile(*path);
    if (!token) return {.access = std::nullopt, .exit_code = kExitFailure};
    access.token = *token;
  }
  return {.access = std::move(access)};
}

}  // namespace citronferry::cli
