#include "fleet/internal/client_limit_reporter.h"

#include <string>
#include <utility>

#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

constexpr Duration kReportInterval = 1s;

}  // namespace

ClientLimitReporter::ClientLimitReporter(TimerService& timers, Metrics& metrics,
                                         const http::ClientBudget& budget)
    : m_metrics(metrics),
      m_budget(budget),
      m_reporting(timers.Subscribe(kReportInterval, [this] { Report(); })) {
  const http::ClientBudget::Limits& limits = budget.limits();
  Log(LogLevel::kInfo, "client_limits",
      {{"max_bytes", limits.max_bytes}, {"max_connections", limits.max_connections}});
}

void ClientLimitReporter::Report() {
  m_metrics.Gauge("citronferry_client_held_bytes", "Bytes charged for clients.")
      .Set(static_cast<double>(m_budget.used_bytes()));
  m_metrics.Gauge("citronferry_client_connections", "Open connections of clients.")
      .Set(static_cast<double>(m_budget.connections()));
  for (size_t i = 0; i < http::kClientLimitEvents; ++i) {
    const auto event = static_cast<http::ClientLimitEvent>(i);
    const uint64_t total = m_budget.count(event);
    const uint64_t added = total - std::exchange(m_reported[i], total);
    if (added == 0) continue;
    const std::string_view name = http::ClientLimitEventName(event);
    m_metrics
        .Counter("citronferry_client_limit_events_total",
                 "Requests refused and connections closed at a limit.",
                 {{"event", std::string(name)}})
        .Increment(static_cast<double>(added));
    Log(LogLevel::kWarning, "client_limit_reached",
        {{"limit_event", name},
         {"count", added},
         {"held_bytes", m_budget.used_bytes()},
         {"max_bytes", m_budget.limits().max_bytes},
         {"connections", m_budget.connections()},
         {"max_connections", m_budget.limits().max_connections}});
  }
}

}  // namespace citronferry::fleet
