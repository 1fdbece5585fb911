#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>

#include "http/server.h"
#include "node/admin/admin_module.h"
#include "node/admin/internal/status.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

/// @return the resident memory of this process in bytes; 0 if unknown.
double ReadResidentBytes() {
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Owns the admin listener, which serves operators and the load balancer.
class AdminService : public Service {
 public:
  explicit AdminService(NodeContext& context)
      : m_context(context),
        m_server(context.timers, MakeOptions(context),
                 [this](http::Request request) { return Handle(std::move(request)); }) {}

  QCoro::Task<Ret> Run() override {
    Ret listening = m_server.Listen();
    if (!listening) co_return listening;
    Log(LogLevel::kInfo, "admin_listening", {{"port", m_server.port()}});
    co_return co_await m_server.Run();
  }
  void Stop() override { m_server.Stop(); }

 private:
  using RouteHandler = http::Response (AdminService::*)(const http::Request&);
  struct Route {
    std::string_view method;
    std::string_view path;
    RouteHandler handler;
  };

  static http::ServerOptions MakeOptions(const NodeContext& context) {
    const document::Endpoint& listener = context.settings.admin_listener;
    return {.address = QHostAddress(QString::fromStdString(listener.address)),
            .port = listener.port,
            .tls = context.tls};
  }

  QCoro::Task<http::Response> Handle(http::Request request) {
    static constexpr std::array<Route, 5> kRoutes{{
        {"GET", "/healthz", &AdminService::Health},
        {"GET", "/readyz", &AdminService::Readiness},
        {"GET", "/metrics", &AdminService::RenderMetrics},
        {"GET", "/v1/status", &AdminService::Status},
        {"POST", "/v1/drain", &AdminService::Drain},
    }};
    for (const Route& route : kRoutes) {
      if (route.path != request.path) continue;
      if (route.method != request.method) {
        co_return http::MakeErrorResponse(405, "method_not_allowed", "use another method");
      }
      co_return (this->*route.handler)(request);
    }
    co_return http::MakeErrorResponse(404, "unknown_path", "no such resource");
  }

  http::Response Health(const http::Request&) { return {.body = "ok\n"}; }

  http::Response Readiness(const http::Request&) {
    const auto reason = FindNotReadyReason(m_context);
    if (reason) return http::MakeErrorResponse(503, reason->code, reason->message);
    return {.body = "ready\n"};
  }

  http::Response RenderMetrics(const http::Request&) {
    UpdateGauges();
    return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = QByteArray::fromStdString(m_context.metrics.Render())};
  }

  http::Response Status(const http::Request&) {
    return {.headers = {{"Content-Type", "application/json"}}, .body = RenderStatus(m_context)};
  }

  http::Response Drain(const http::Request& request) {
    // The file is read on each request, so that the token can be replaced without a restart.
    std::string token;
    std::ifstream file(m_context.settings.operator_token_file);
    std::getline(file, token);
    if (token.empty()) {
      return http::MakeErrorResponse(403, "drain_disabled", "no operator token is configured");
    }
    if (!IsAuthorized(http::FindHeader(request.headers, "Authorization"), token)) {
      return http::MakeErrorResponse(401, "unauthenticated", "the operator token is required");
    }
    Log(LogLevel::kInfo, "drain_requested", {{"remote_address", request.remote_address}});
    if (m_context.lifecycle.Get() != Lifecycle::kDraining) {
      m_context.lifecycle.Set(Lifecycle::kDraining);
    }
    return {.status = 202, .body = "draining\n"};
  }

  void UpdateGauges() {
    Metrics& metrics = m_context.metrics;
    metrics.Gauge("process_resident_memory_bytes", "Resident memory size in bytes.")
        .Set(ReadResidentBytes());
    if (m_context.last_store_response) {
      metrics
          .Gauge("citronferry_store_age_seconds",
                 "Time since the table service last answered a poll.")
          .Set(ToSeconds(m_context.timers.Now() - *m_context.last_store_response));
    }
    if (!m_context.read_load) return;
    const GatewayLoad load = m_context.read_load();
    for (const auto& [pool, waiting] : load.waiting) {
      metrics
          .Gauge("citronferry_waiting_requests", "Requests in the queues of a pool.",
                 {{"pool", pool.str()}})
          .Set(static_cast<double>(waiting));
    }
    std::map<PoolName, int> free_slots;
    const std::map<InstanceId, PoolName> pools = PoolsInService(m_context);
    for (const auto& [instance, free] : load.free_slots) {
      const auto pool = pools.find(instance);
      if (pool != pools.end()) free_slots[pool->second] += std::max(0, free);
    }
    for (const auto& [pool, free] : free_slots) {
      metrics
          .Gauge("citronferry_free_slots", "Slots of a pool that this entry could use now.",
                 {{"pool", pool.str()}})
          .Set(free);
    }
  }

  NodeContext& m_context;
  http::Server m_server;
};

}  // namespace

ChildSpec AdminModule::MakeChild(NodeContext& context) {
  return {.name = "admin",
          .factory = [&context] { return std::make_unique<AdminService>(context); }};
}

}  // namespace citronferry::node
