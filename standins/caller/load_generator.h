#ifndef CITRONFERRY_STANDINS_CALLER_LOAD_GENERATOR_H_
#define CITRONFERRY_STANDINS_CALLER_LOAD_GENERATOR_H_

#include <QUrl>
#include <string>
#include <vector>

#include "http/client.h"
#include "standins/caller/load_report.h"
#include "supervision/task_scope.h"

namespace citronferry::standin {

struct LoadOptions {
  std::vector<std::string> targets;  ///< Base URLs, used in turn.
  std::string path;                  ///< Path of each request.
  std::string token;
  std::string key_prefix = "load";  ///< Idempotency keys are the prefix and a number.
  double rate = 50;                 ///< Requests a second at the mean.
  Duration duration = 5s;
  double surge_factor = 1;  ///< Rate during the surge over the mean rate.
  Duration surge_start = 2s;
  Duration surge_length = 0s;
  Duration deadline = 5s;
  int max_attempts = 1;  ///< Tries with the same key, each at the next target.
};

/// Sends requests at a steady rate, whether or not earlier ones were answered.
class LoadGenerator {
 public:
  LoadGenerator(TimerService& timers, LoadOptions options)
      : m_timers(timers), m_options(std::move(options)) {}

  /// Sends everything and waits for the last answer.
  QCoro::Task<LoadReport> Run();

 private:
  double RateAt(Duration elapsed) const;
  QCoro::Task<void> SendRequest(int number);
  http::ClientRequest BuildRequest(const std::string& key, const std::string& target) const;
  void RecordResponse(const std::string& key, const http::Response& response, Duration latency);

  TimerService& m_timers;
  LoadOptions m_options;
  http::Client m_client{{.max_connections_per_server = 4096}};
  TaskScope m_tasks;
  LoadReport m_report;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_CALLER_LOAD_GENERATOR_H_
