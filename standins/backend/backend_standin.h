#ifndef CITRONFERRY_STANDINS_BACKEND_BACKEND_STANDIN_H_
#define CITRONFERRY_STANDINS_BACKEND_BACKEND_STANDIN_H_

#include <map>
#include <string>

#include "http/server.h"

namespace citronferry::standin {

/// Behaviour and injected faults of the stand-in, set with PUT /standin/switches.
struct BackendSwitches {
  Duration run_time = 20ms;
  bool fail = false;          ///< Responds with 500 without running the request.
  bool refuse = false;        ///< Responds with 503 and the header Citronferry-Not-Run.
  bool unresponsive = false;  ///< Runs the request but never responds.
  int slots = 8;              ///< Maximum of concurrent requests; more are refused as not run.
};

/// Simulates the executor of a backend server and counts how often it has run each request.
class BackendStandin {
 public:
  explicit BackendStandin(TimerService& timers) : m_timers(timers) {}

  /// Handles one HTTP request: POST /execute/..., GET /standin/counts or PUT /standin/switches.
  QCoro::Task<http::Response> Handle(http::Request request);

 private:
  QCoro::Task<http::Response> Execute(http::Request request);
  http::Response HandleControl(const http::Request& request);
  http::Response ReportCounts() const;

  TimerService& m_timers;
  BackendSwitches m_switches;
  std::map<std::string, int> m_run_counts;  ///< By request identifier.
  int m_running = 0;
  int m_max_running = 0;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_BACKEND_BACKEND_STANDIN_H_
