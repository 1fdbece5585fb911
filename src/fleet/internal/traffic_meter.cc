#include "fleet/internal/traffic_meter.h"

#include <string>
#include <utility>

#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

constexpr Duration kLogInterval = 10s;

}  // namespace

TrafficMeter::TrafficMeter(TimerService& timers, Metrics& metrics)
    : m_metrics(metrics), m_logging(timers.Subscribe(kLogInterval, [this] { LogSums(); })) {}

void TrafficMeter::Count(const http::ExchangeRecord& record) {
  const Metrics::Labels labels{{"kind", std::string(record.kind)}};
  const auto add = [&](std::string_view name, std::string_view help, int64_t amount) {
    if (amount > 0) m_metrics.Counter(name, help, labels).Increment(static_cast<double>(amount));
  };
  add("citronferry_http_sent_bytes_total", "Bytes of requests by kind.", record.sent_bytes);
  add("citronferry_http_received_bytes_total", "Bytes of responses by kind.",
      record.received_bytes);
  add("citronferry_http_opened_connections_total", "Connections opened for requests by kind.",
      record.opened_connection ? 1 : 0);
  add("citronferry_http_unanswered_total", "Requests without a response by kind.",
      record.answered ? 0 : 1);
  m_metrics
      .LatencyHistogram("citronferry_http_request_seconds", "Duration of exchanges by kind.",
                        labels)
      .Observe(ToSeconds(record.duration));
  Sums& sums = m_sums[record.kind];
  ++sums.calls;
  sums.sent_bytes += record.sent_bytes;
  sums.received_bytes += record.received_bytes;
  sums.opened_connections += record.opened_connection ? 1 : 0;
  sums.unanswered += record.answered ? 0 : 1;
}

void TrafficMeter::LogSums() {
  for (const auto& [kind, sums] : std::exchange(m_sums, {})) {
    Log(LogLevel::kInfo, "traffic",
        {{"kind", kind},
         {"calls", sums.calls},
         {"sent_bytes", sums.sent_bytes},
         {"received_bytes", sums.received_bytes},
         {"opened_connections", sums.opened_connections},
         {"unanswered", sums.unanswered},
         {"seconds", ToSeconds(kLogInterval)}});
  }
}

}  // namespace citronferry::fleet
