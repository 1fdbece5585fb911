#include "fleet/fleet_node.h"

#include <signal.h>

#include <QCoreApplication>
#include <algorithm>
#include <utility>

#include "fleet/entry/entry_servers.h"
#include "fleet/internal/client_limit_reporter.h"
#include "fleet/internal/traffic_meter.h"
#include "fleet/pool/pools_service.h"
#include "fleet/relay/relay_client.h"
#include "fleet/relay/relay_server.h"
#include "fleet/watch/watchers.h"
#include "supervision/signal_listener.h"
#include "supervision/supervisor.h"
#include "supervision/task_scope.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// The load balancer probes readiness once per second and stops sending new connections after two
// failed probes.
constexpr Duration kDrainNotice = 2500ms;
// Log lines are written in batches; a delay of a tenth of a second does not matter to operators.
constexpr Duration kLogFlushInterval = 100ms;
// Part of the shutdown grace time that is reserved for stopping the services.
constexpr Duration kShutdownMargin = 2500ms;
constexpr size_t kMegabyte = 1024 * 1024;

// @param executors makes the calls that this entry relays.
Supervisor MakeRoot(FleetContext& context, Executors& executors) {
  std::vector<ChildSpec> children;
  children.push_back(MakeOperatorWatcher(context));
  children.push_back(MakeOwnerWatcher(context));
  children.push_back(MakeReleaseWatcher(context));
  children.push_back(MakeRegistryWatcher(context));
  children.push_back(MakeDemandWatcher(context));
  children.push_back(MakeEntryWatcher(context));
  children.push_back(MakeRelayServer(context, executors));
  children.push_back(MakePoolsService(context));
  for (ChildSpec& server : MakeEntryServers(context)) children.push_back(std::move(server));
  return Supervisor(context.timers,
                    {.name = "root",
                     .strategy = RestartStrategy::kOneForOne,
                     .max_restarts = 20,
                     .stop_deadline = 3s},
                    std::move(children));
}

QCoro::Task<void> StopAfterNotice(FleetContext& context, Supervisor& root) {
  // Keeps serving until the load balancer has noticed that the entry is not ready any more.
  const Duration notice = std::min(kDrainNotice, context.options.shutdown_grace - kShutdownMargin);
  co_await SleepFor(context.timers, std::max(notice, Duration::zero()));
  root.Stop();
}

}  // namespace

Ret RunFleetNode(const FleetOptions& options, PlatformServices& platform,
                 const std::function<void()>& on_settings_changed) {
  const std::unique_ptr<TimerService> timers = MakeQtTimerService();
  Metrics metrics;
  RelayClient relays(options, *timers, metrics, platform.executors);
  PlatformServices services{.rows = platform.rows,
                            .announcements = platform.announcements,
                            .executors = relays,
                            .adviser = platform.adviser,
                            .instances = platform.instances,
                            .clients = platform.clients,
                            .http = platform.http};
  TrafficMeter traffic(*timers, metrics);
  http::ClientBudget client_budget(
      http::ClientBudget::DeriveLimits(static_cast<size_t>(options.memory_mb) * kMegabyte,
                                       static_cast<size_t>(options.max_descriptors)));
  const ClientLimitReporter limit_reporter(*timers, metrics, client_budget);
  if (platform.http) {
    platform.http->SetObserver(
        [&traffic](const http::ExchangeRecord& record) { traffic.Count(record); });
  }
  FleetContext context{.options = options,
                       .timers = *timers,
                       .metrics = metrics,
                       .platform = services,
                       .relays = &relays,
                       .client_budget = &client_budget};
  context.store_answered_at = timers->Now();
  Subscription flush = timers->Subscribe(kLogFlushInterval, [] { FlushLog(); });
  Supervisor root = MakeRoot(context, platform.executors);
  TaskScope tasks;
  SignalListener signals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal == SIGHUP) {
      Log(LogLevel::kInfo, "settings_reloaded");
      on_settings_changed();
      return;
    }
    if (std::exchange(context.draining, true)) return;
    Log(LogLevel::kInfo, "drain_started", {{"signal", signal}});
    tasks.Spawn([&]() -> QCoro::Task<void> { return StopAfterNotice(context, root); });
  });
  Ret result;
  tasks.Spawn([&]() -> QCoro::Task<void> {
    Log(LogLevel::kInfo, "node_started",
        {{"entry", options.name}, {"incarnation", options.incarnation}, {"cores", options.cores}});
    result = co_await root.Run();
    Log(LogLevel::kInfo, "node_stopped", {{"error", result.message()}});
    QCoreApplication::quit();
  });
  QCoreApplication::exec();
  if (platform.http) platform.http->SetObserver({});
  return result;
}

}  // namespace citronferry::fleet
