#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/entry_client.h"
#include "cli/internal/network_command.h"

namespace citronferry::cli {

int RunDrain(std::span<char*> arguments) {
  cxxopts::Options options(
      "citronferry drain",
      "Drains an entry: it accepts no new requests, finishes those in flight and exits.");
  AddServerOptions(options, "entry", "base URL of the admin listener");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  if (!RequireOption(*parsed.values, "drain", "token-file")) return kExitUsage;
  const ParsedServer entry = ReadServerOptions(*parsed.values, "drain", "entry");
  if (!entry.access) return entry.exit_code;
  return RunNetworkCommand([&]() -> QCoro::Task<int> {
    http::Client client;
    const auto response = co_await CallEntry(client, *entry.access, "POST", "/v1/drain");
    if (response.ok()) {
      std::cout << "the entry is draining\n";
      co_return kExitOk;
    }
    std::cerr << ErrorCodeName(response.code()) << ": " << response.ret().message() << '\n';
    co_return kExitFailure;
  });
}

}  // namespace citronferry::cli
