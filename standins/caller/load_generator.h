#ifndef CITRONFERRY_STANDINS_CALLER_LOAD_GENERATOR_H_
#define CITRONFERRY_STANDINS_CALLER_LOAD_GENERATOR_H_

#include <QUrl>
#include <string>
#include <vector>

#include "http/client.h"
#include "standins/caller/load_report.h"
#include "supervision/task_scope.h"

namespace citronferry::standin {

/// Targets, rate and retries of a load generator.
struct LoadOptions {
  std::vector<std::string> targets;  ///< Base URLs, used in rotation.
  std::string path;                  ///< Path of each request.
  std::string token;                 ///< Bearer token.
  std::string key_prefix = "load";   ///< Prefix of the idempotency keys, followed by a number.
  double rate = 50;                  ///< Rate outside the surge, in requests per second.
  Duration duration = 5s;            ///< Time for which requests are sent.
  double surge_factor = 1;           ///< Rate during the surge divided by the rate outside it.
  Duration surge_start = 2s;         ///< Start of the surge after the first request.
  Duration surge_length = 0s;
  Duration deadline = 5s;  ///< Deadline of each attempt.
  int max_attempts = 1;    ///< Attempts per request with the same key, each at the next target.
};

/// Open-loop load generator: sends requests at the configured rate whether or not earlier ones have
/// been answered.
class LoadGenerator {
 public:
  LoadGenerator(TimerService& timers, LoadOptions options)
      : m_timers(timers), m_options(std::move(options)) {}

  /// Sends all requests and waits for the responses, at most 120 s after the last one was sent.
  /// @return the report; requests still open after this time count as "no-answer".
  QCoro::Task<LoadReport> Run();

 private:
  /// @return the rate after a time since the start, in requests per second.
  double RateAt(Duration elapsed) const;
  /// Sends one request, with retries, and records its outcome.
  QCoro::Task<void> SendRequest(int number);
  http::ClientRequest BuildRequest(const std::string& key, const std::string& target) const;
  /// Counts the outcome of the last attempt and checks that the response belongs to the request.
  /// @param latency time from the first attempt to the response.
  void RecordResponse(const std::string& key, const http::Response& response, Duration latency);

  TimerService& m_timers;
  LoadOptions m_options;
  http::Client m_client{{.max_connections_per_server = 4096}};
  TaskScope m_tasks;
  LoadReport m_report;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_CALLER_LOAD_GENERATOR_H_
