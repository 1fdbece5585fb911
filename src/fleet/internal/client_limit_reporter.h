#ifndef CITRONFERRY_FLEET_INTERNAL_CLIENT_LIMIT_REPORTER_H_
#define CITRONFERRY_FLEET_INTERNAL_CLIENT_LIMIT_REPORTER_H_

#include <array>

#include "http/client_budget.h"
#include "supervision/timer_service.h"
#include "telemetry/metrics.h"

namespace citronferry::fleet {

/// Publishes the use of the clients' budget as metrics, and logs what was refused or closed.
class ClientLimitReporter {
 public:
  /// @param budget must outlive the reporter.
  ClientLimitReporter(TimerService& timers, Metrics& metrics, const http::ClientBudget& budget);

 private:
  void Report();

  Metrics& m_metrics;
  const http::ClientBudget& m_budget;
  std::array<uint64_t, http::kClientLimitEvents> m_reported{};
  Subscription m_reporting;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERNAL_CLIENT_LIMIT_REPORTER_H_
