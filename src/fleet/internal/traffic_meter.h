#ifndef CITRONFERRY_FLEET_INTERNAL_TRAFFIC_METER_H_
#define CITRONFERRY_FLEET_INTERNAL_TRAFFIC_METER_H_

#include <map>
#include <string_view>

#include "http/client.h"
#include "supervision/timer_service.h"
#include "telemetry/metrics.h"

namespace citronferry::fleet {

/// Counts the exchanges of the HTTP client by what they are for, and logs the sums regularly.
class TrafficMeter {
 public:
  TrafficMeter(TimerService& timers, Metrics& metrics);

  void Count(const http::ExchangeRecord& record);

 private:
  struct Sums {
    int64_t calls = 0;
    int64_t sent_bytes = 0;
    int64_t received_bytes = 0;
    int64_t opened_connections = 0;
    int64_t unanswered = 0;
  };

  /// Logs the sums since the last call.
  void LogSums();

  Metrics& m_metrics;
  std::map<std::string_view, Sums> m_sums;  // By ExchangeRecord::kind, since the last log record.
  Subscription m_logging;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERNAL_TRAFFIC_METER_H_
