#ifndef CITRONFERRY_STANDINS_CALLER_LOAD_REPORT_H_
#define CITRONFERRY_STANDINS_CALLER_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace citronferry::standin {

/// Responses and latencies that a load generator has observed.
struct LoadReport {
  std::map<std::string, int> outcomes;  ///< Requests by the outcome of the last attempt.
  std::vector<Duration> latencies;      ///< Of answered requests, from the first attempt.
  int mismatched_responses = 0;         ///< Responses that belong to another request.
  int attempts = 0;                     ///< Attempts of all requests.

  /// @return the counts and latency percentiles in milliseconds as one line of JSON.
  std::string ToJson() const;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_CALLER_LOAD_REPORT_H_
