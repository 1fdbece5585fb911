#include "cli/internal/publish_command.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <iostream>

#include "cli/cli.h"

namespace citronferry::cli {
namespace {

void PrintChange(const PreparedChange& change) {
  const std::string& environment = change.request.environment;
  if (change.current.version == 0) {
    std::cout << environment << ": no document is active yet\n";
  } else {
    std::cout << environment << ": version " << change.current.version << " by "
              << change.current.author << " is active\n";
  }
  if (change.changes.empty()) std::cout << "  (no effective changes)\n";
  for (const std::string& line : change.changes) std::cout << "  " << line << '\n';
  std::cout.flush();
}

}  // namespace

void AddPublishOptions(cxxopts::Options& options) {
  AddServerOptions(options, "platform", "base URL of the platform");
  options.add_options()("base", "version that must be active, otherwise nothing is written",
                        cxxopts::value<uint64_t>(), "VERSION")(
      "author", "name that is recorded with the change (default: $USER)",
      cxxopts::value<std::string>(), "NAME")("dry-run", "show the changes without writing them");
}

ParsedPublishOptions ReadPublishOptions(const cxxopts::ParseResult& values,
                                        std::string_view command) {
  ParsedServer server = ReadServerOptions(values, command, "platform");
  if (!server.access) return {.options = std::nullopt, .exit_code = server.exit_code};
  PublishOptions options{.platform = std::move(*server.access),
                         .author = FindOption(values, "author").value_or(""),
                         .dry_run = values.count("dry-run") > 0};
  const char* user = std::getenv("USER");
  if (options.author.empty() && user) options.author = user;
  if (options.author.empty()) {
    std::cerr << "citronferry " << command << ": --author is required, since $USER is not set\n";
    return {.options = std::nullopt, .exit_code = kExitUsage};
  }
  // The name is printed in the terminals of other operators, where control characters could change
  // the output.
  if (std::any_of(options.author.begin(), options.author.end(),
                  [](unsigned char c) { return std::iscntrl(c) != 0; })) {
    std::cerr << "citronferry " << command << ": --author must not contain control characters\n";
    return {.options = std::nullopt, .exit_code = kExitUsage};
  }
  if (values.count("base") > 0) options.base = values["base"].as<uint64_t>();
  return {.options = std::move(options)};
}

QCoro::Task<int> ShowAndPublish(Publisher& publisher, PublishRequest request, bool dry_run) {
  const auto prepared = co_await publisher.Prepare(std::move(request));
  if (!prepared.ok()) co_return ReportFailure(prepared.ret());
  const PreparedChange& change = prepared.value();
  if (change.already_active) {
    std::cout << change.request.environment << ": this document is already active as version "
              << change.current.version << '\n';
    co_return kExitOk;
  }
  PrintChange(change);
  if (dry_run) {
    std::cout << "dry run: nothing was written\n";
    co_return kExitOk;
  }
  const auto version = co_await publisher.Commit(change);
  if (!version.ok()) co_return ReportFailure(version.ret());
  std::cout << change.request.environment << ": version " << version.value() << " was written\n";
  co_return kExitOk;
}

int ReportFailure(const Ret& ret) {
  if (ret.code() == ErrorCode::kConflict) {
    std::cerr << "rejected because of a concurrent change: " << ret.message();
  } else {
    std::cerr << ErrorCodeName(ret.code()) << ": " << ret.message() << '\n';
  }
  return kExitFailure;
}

}  // namespace citronferry::cli
