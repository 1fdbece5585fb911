#include <QJsonDocument>
#include <iostream>

#include "cli/cli.h"
#include "cli/internal/commands.h"
#include "cli/internal/entry_client.h"
#include "cli/internal/network_command.h"
#include "cli/internal/status_table.h"
#include "supervision/awaitables.h"

namespace citronferry::cli {
namespace {

constexpr Duration kWatchInterval = 1s;

/// Fetches and prints the status once.
/// @return the exit code.
QCoro::Task<int> ShowStatus(http::Client& client, ServerAccess entry, bool json) {
  const auto body = co_await CallEntry(client, std::move(entry), "GET", "/v1/status");
  if (!body.ok()) {
    std::cerr << ErrorCodeName(body.code()) << ": " << body.ret().message() << '\n';
    co_return kExitFailure;
  }
  const QJsonDocument status = QJsonDocument::fromJson(QByteArray::fromStdString(body.value()));
  if (!status.isObject()) {
    std::cerr << "the response of the entry is not a JSON object\n";
    co_return kExitFailure;
  }
  if (json) {
    std::cout << status.toJson(QJsonDocument::Compact).toStdString() << std::endl;
  } else {
    std::cout << RenderStatus(status.object()) << std::flush;
  }
  co_return kExitOk;
}

}  // namespace

int RunStatus(std::span<char*> arguments) {
  cxxopts::Options options("citronferry status", "Shows the status of an entry.");
  AddServerOptions(options, "entry", "base URL of the admin listener");
  options.add_options()("json", "print JSON, one line for each update")(
      "watch", "update every second until interrupted");
  const ParsedOptions parsed = ParseOptions(options, arguments);
  if (!parsed.values) return parsed.exit_code;
  const ParsedServer entry = ReadServerOptions(*parsed.values, "status", "entry");
  if (!entry.access) return entry.exit_code;
  const bool json = parsed.values->count("json") > 0;
  const bool watch = parsed.values->count("watch") > 0;
  return RunNetworkCommand([&]() -> QCoro::Task<int> {
    const auto timers = MakeQtTimerService();
    http::Client client;
    int exit_code = co_await ShowStatus(client, *entry.access, json);
    while (watch) {
      co_await SleepFor(*timers, kWatchInterval);
      if (!json) std::cout << '\n';
      exit_code = co_await ShowStatus(client, *entry.access, json);
    }
    co_return exit_code;
  });
}

}  // namespace citronferry::cli
