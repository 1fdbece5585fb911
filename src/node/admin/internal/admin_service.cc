#include <array>

#include "http/server.h"
#include "node/admin/admin_module.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

/// Owns the listener for operators and the balancer.
class AdminService : public Service {
 public:
  explicit AdminService(NodeContext& context)
      : m_context(context),
        m_server(context.timers, MakeOptions(context.settings),
                 [this](http::Request request) { return Handle(std::move(request)); }) {}

  QCoro::Task<Ret> Run() override { return m_server.Run(); }
  void Stop() override { m_server.Stop(); }

 private:
  using RouteHandler = http::Response (AdminService::*)(const http::Request&);
  struct Route {
    std::string_view method;
    std::string_view path;
    RouteHandler handler;
  };

  static http::ServerOptions MakeOptions(const document::Settings& settings) {
    return {.address = QHostAddress(QString::fromStdString(settings.admin_listener.address)),
            .port = settings.admin_listener.port};
  }

  QCoro::Task<http::Response> Handle(http::Request request) {
    static constexpr std::array<Route, 3> kRoutes{{
        {"GET", "/healthz", &AdminService::Health},
        {"GET", "/readyz", &AdminService::Readiness},
        {"GET", "/metrics", &AdminService::RenderMetrics},
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
    if (m_context.lifecycle.Get() == Lifecycle::kDraining) {
      return http::MakeErrorResponse(503, "draining", "this entry is draining");
    }
    if (m_context.configuration.Get().version == 0) {
      return http::MakeErrorResponse(503, "no_configuration", "no configuration was adopted yet");
    }
    return {.body = "ready\n"};
  }

  http::Response RenderMetrics(const http::Request&) {
    return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = QByteArray::fromStdString(m_context.metrics.Render())};
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
