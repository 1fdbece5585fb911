#include "http/server.h"
#include "node/gateway/gateway_module.h"
#include "node/gateway/internal/dispatch_work_runner.h"
#include "node/gateway/internal/request_handler.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

// Time to write the outcomes of requests that ended during the drain.
constexpr Duration kSettleTimeout = 2s;

/// Owns the caller listener and the components that process its requests.
class GatewayService : public Service {
 public:
  explicit GatewayService(NodeContext& context)
      : m_dispatch(context),
        m_executors(context),
        m_work(context, m_dispatch, m_executors),
        m_ledger(context, context.platform.tables(), context.platform.objects()),
        m_jobs(context, JobStore(context.platform.tables(), context.platform.objects())),
        m_handler(context, m_work, m_ledger, m_jobs),
        m_server(context.timers, MakeOptions(context),
                 [this](http::Request request) { return m_handler.Handle(std::move(request)); }) {}

  QCoro::Task<Ret> Run() override {
    Ret listening = m_server.Listen();
    if (!listening) co_return listening;
    Log(LogLevel::kInfo, "gateway_listening", {{"port", m_server.port()}});
    Ret served = co_await m_server.Run();
    co_await m_ledger.Finish(kSettleTimeout);
    co_return served;
  }
  void Stop() override { m_server.Stop(); }

 private:
  static http::ServerOptions MakeOptions(const NodeContext& context) {
    const document::Settings& settings = context.settings;
    return {.address = QHostAddress(QString::fromStdString(settings.caller_listener.address)),
            .port = settings.caller_listener.port,
            .tls = context.tls};
  }

  DispatchService m_dispatch;
  ExecutorClient m_executors;
  DispatchWorkRunner m_work;
  RequestLedger m_ledger;
  JobEndpoints m_jobs;
  RequestHandler m_handler;
  http::Server m_server;
};

}  // namespace

ChildSpec GatewayModule::MakeChild(NodeContext& context) {
  return {.name = "gateway",
          .factory = [&context] { return std::make_unique<GatewayService>(context); }};
}

}  // namespace citronferry::node
