#include "standins/backend/backend_standin.h"

#include <QJsonDocument>
#include <algorithm>

#include "standins/common/program.h"

namespace citronferry::standin {
namespace {

// Longer than any client waits.
constexpr Duration kHangDuration = 24h;

http::Response Refuse(std::string_view reason) {
  http::Response response = http::MakeErrorResponse(503, "not_run", reason);
  response.headers.push_back({"Citronferry-Not-Run", "true"});
  return response;
}

}  // namespace

QCoro::Task<http::Response> BackendStandin::Handle(http::Request request) {
  if (request.path.starts_with("/standin/")) co_return HandleControl(request);
  if (request.path.starts_with("/execute/") && request.method == "POST") {
    co_return co_await Execute(std::move(request));
  }
  co_return http::MakeErrorResponse(404, "unknown_path", "no such resource");
}

QCoro::Task<http::Response> BackendStandin::Execute(http::Request request) {
  if (m_switches.refuse) co_return Refuse("injected refusal");
  if (m_running >= m_switches.slots) co_return Refuse("all slots are in use");
  if (m_switches.fail) co_return http::MakeErrorResponse(500, "failed", "injected failure");
  const std::string id(http::FindHeader(request.headers, "Citronferry-Request-Id"));
  ++m_run_counts[id];
  ++m_running;
  m_max_running = std::max(m_max_running, m_running);
  co_await SleepFor(m_timers, m_switches.run_time);
  --m_running;
  if (m_switches.unresponsive) co_await SleepFor(m_timers, kHangDuration, request.abandoned.get());
  http::Response response;
  response.headers.push_back({"Content-Type", "text/plain"});
  response.body = QByteArray::fromStdString("ran " + id + " ") + request.body;
  co_return response;
}

http::Response BackendStandin::HandleControl(const http::Request& request) {
  if (request.path == "/standin/counts") return ReportCounts();
  if (request.path != "/standin/switches" || request.method != "PUT") {
    return http::MakeErrorResponse(404, "unknown_path", "no such control");
  }
  const QJsonObject json = ParseObject(request.body);
  BackendSwitches switches;
  if (json.contains(QLatin1String("run_ms"))) {
    switches.run_time = std::chrono::milliseconds(json.value(QLatin1String("run_ms")).toInteger());
  }
  switches.fail = json.value(QLatin1String("fail")).toBool();
  switches.refuse = json.value(QLatin1String("refuse")).toBool();
  switches.unresponsive = json.value(QLatin1String("silent")).toBool();
  switches.slots = json.value(QLatin1String("slots")).toInt(switches.slots);
  m_switches = switches;
  return {.status = 204};
}

http::Response BackendStandin::ReportCounts() const {
  int total = 0;
  int repeated = 0;
  for (const auto& [id, runs] : m_run_counts) {
    total += runs;
    if (runs > 1) ++repeated;
  }
  const QJsonObject json{{QStringLiteral("requests"), static_cast<int>(m_run_counts.size())},
                         {QStringLiteral("runs"), total},
                         {QStringLiteral("repeated"), repeated},
                         {QStringLiteral("max_running"), m_max_running}};
  return JsonResponse(200, QJsonDocument(json).toJson(QJsonDocument::Compact));
}

}  // namespace citronferry::standin
