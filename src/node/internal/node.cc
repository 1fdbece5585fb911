#include "node/node.h"

#include <signal.h>

#include <QCoreApplication>
#include <fstream>
#include <utility>

#include "http/tls.h"
#include "node/admin/admin_module.h"
#include "node/configuration/configuration_module.h"
#include "node/fleet/fleet_module.h"
#include "node/gateway/gateway_module.h"
#include "node/jobs/jobs_module.h"
#include "node/membership/membership_module.h"
#include "node/node_context.h"
#include "node/planner/planner_module.h"
#include "supervision/signal_listener.h"
#include "supervision/task_scope.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

// Time for the load balancer to notice that this entry is no longer ready.
constexpr Duration kDrainDelay = 2s;

/// @return the first line of the file; empty without a path or if the file cannot be read.
std::string ReadTokenFile(const std::string& path) {
  if (path.empty()) return {};
  std::ifstream file(path);
  std::string token;
  std::getline(file, token);
  return token;
}

Supervisor MakeRootSupervisor(NodeContext& context) {
  std::vector<ChildSpec> children;
  children.push_back(ConfigurationModule::MakeChild(context));
  children.push_back(FleetModule::MakeChild(context));
  children.push_back(MembershipModule::MakeChild(context));
  children.push_back(GatewayModule::MakeChild(context));
  children.push_back(JobsModule::MakeChild(context));
  children.push_back(PlannerModule::MakeChild(context));
  children.push_back(AdminModule::MakeChild(context));
  return Supervisor(
      context.timers,
      {.name = "root", .strategy = RestartStrategy::kRestForOne, .stop_deadline = 35s},
      std::move(children));
}

QCoro::Task<void> StopAfterDrainDelay(NodeContext& context, Supervisor& root) {
  Log(LogLevel::kInfo, "drain_started");
  co_await SleepFor(context.timers, kDrainDelay);
  root.Stop();
}

}  // namespace

Ret RunNode(const document::Settings& settings) {
  const std::unique_ptr<TimerService> timers = MakeQtTimerService();
  Metrics metrics;
  provider::ProviderModule platform(
      {.url = settings.platform_url, .token = ReadTokenFile(settings.platform_token_file)});
  NodeContext context{.settings = settings,
                      .timers = *timers,
                      .metrics = metrics,
                      .platform = platform,
                      .incarnation = RandomToken()};
  if (!settings.tls_certificate_file.empty() || !settings.tls_key_file.empty()) {
    auto tls = http::LoadServerTls(settings.tls_certificate_file, settings.tls_key_file);
    if (!tls.ok()) {
      Log(LogLevel::kError, "tls_invalid", {{"error", tls.ret().message()}});
      return tls.ret();
    }
    context.tls = std::move(tls).value();
  }
  Supervisor root = MakeRootSupervisor(context);
  TaskScope tasks;
  // A signal and the operators' drain command both set the lifecycle, so draining has one start.
  bool draining = false;
  Subscription drain = context.lifecycle.Subscribe([&](Lifecycle lifecycle) {
    if (lifecycle != Lifecycle::kDraining || std::exchange(draining, true)) return;
    tasks.Spawn([&]() -> QCoro::Task<void> { return StopAfterDrainDelay(context, root); });
  });
  SignalListener termination({SIGTERM, SIGINT},
                             [&](int) { context.lifecycle.Set(Lifecycle::kDraining); });
  Ret result;
  tasks.Spawn([&]() -> QCoro::Task<void> {
    Log(LogLevel::kInfo, "node_started",
        {{"entry", settings.id.view()}, {"incarnation", context.incarnation}});
    result = co_await root.Run();
    Log(LogLevel::kInfo, "node_stopped", {{"error", result.message()}});
    QCoreApplication::quit();
  });
  QCoreApplication::exec();
  return result;
}

}  // namespace citronferry::node
