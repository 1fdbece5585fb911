#include "fleet/entry/entry_servers.h"

#include "fleet/entry/internal/client_service.h"

namespace citronferry::fleet {
namespace {

// If the store has not answered for longer than this, the entry cannot accept calls.
constexpr Duration kMaxStoreSilence = 2500ms;

// @return 200, or 503 with the reason why the load balancer should send no calls.
http::Response Readiness(const FleetContext& context) {
  if (context.draining) return http::MakeErrorResponse(503, "draining", "the entry is draining");
  if (context.configuration.Get().version == 0) {
    return http::MakeErrorResponse(503, "no_configuration", "no configuration was read yet");
  }
  if (context.timers.Now() - context.store_answered_at > kMaxStoreSilence) {
    return http::MakeErrorResponse(503, "store_away", "the store does not answer");
  }
  return {};
}

ChildSpec MakeServer(FleetContext& context, std::string name, const document::Endpoint& listener,
                     http::Handler handler) {
  const http::ServerOptions options{
      .address = QHostAddress(QString::fromStdString(listener.address)),
      .port = listener.port,
      .budget = context.client_budget};
  return {.name = std::move(name), .factory = [&context, options, handler = std::move(handler)] {
            return std::make_unique<http::Server>(context.timers, options, handler);
          }};
}

}  // namespace

std::vector<ChildSpec> MakeEntryServers(FleetContext& context) {
  std::vector<ChildSpec> children;
  children.push_back(MakeServer(
      context, "readiness", context.options.readiness_listener,
      [&context](http::Request) -> QCoro::Task<http::Response> { co_return Readiness(context); }));
  children.push_back(MakeServer(context, "metrics", context.options.metrics_listener,
                                [&context](http::Request) -> QCoro::Task<http::Response> {
                                  co_return http::Response{
                                      .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                                      .body = QByteArray::fromStdString(context.metrics.Render())};
                                }));
  children.push_back({.name = "clients",
                      .factory = [&context] { return std::make_unique<ClientService>(context); }});
  return children;
}

}  // namespace citronferry::fleet
