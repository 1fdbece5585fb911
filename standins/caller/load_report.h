#ifndef CITRONFERRY_STANDINS_CALLER_LOAD_REPORT_H_
#define CITRONFERRY_STANDINS_CALLER_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace citronferry::standin {

/// What the callers have seen.
struct LoadReport {
  std::map<std::string, int> outcomes;  ///< By outcome of the last try of each request.
  std::vector<Duration> latencies;      ///< Of answered requests.
  int mismatched_responses = 0;         ///< Answers that belong to another request.
  int attempts = 0;

  /// @return one line of JSON.
  std::string ToJson() const;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_CALLER_LOAD_REPORT_H_
