#ifndef CITRONFERRY_STANDINS_BACKEND_BACKEND_STANDIN_H_
#define CITRONFERRY_STANDINS_BACKEND_BACKEND_STANDIN_H_

#include <map>
#include <string>

#include "http/server.h"

namespace citronferry::standin {

/// Behaviour and faults of the stand-in, set with PUT /standin/switches.
struct BackendSwitches {
  Duration run_time = 20ms;
  bool fail = false;          ///< Runs nothing and answers 500.
  bool refuse = false;        ///< Runs nothing and says so.
  bool unresponsive = false;  ///< Runs, but never answers.
  int slots = 8;              ///< More requests at a time are refused as not run.
};

/// Stand-in for the executor of a backend server. Counts how often each request has run.
class BackendStandin {
 public:
  explicit BackendStandin(TimerService& timers) : m_timers(timers) {}

  QCoro::Task<http::Response> Handle(http::Request request);

 private:
  QCoro::Task<http::Response> Execute(http::Request request);
  http::Response HandleControl(const http::Request& request);
  http::Response ReportCounts() const;

  TimerService& m_timers;
  BackendSwitches m_switches;
  std::map<std::string, int> m_run_counts;  // By request identifier.
  int m_running = 0;
  int m_max_running = 0;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_BACKEND_BACKEND_STANDIN_H_
