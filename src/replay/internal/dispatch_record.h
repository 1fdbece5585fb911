#ifndef CITRONFERRY_REPLAY_INTERNAL_DISPATCH_RECORD_H_
#define CITRONFERRY_REPLAY_INTERNAL_DISPATCH_RECORD_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/dispatch/types.h"

namespace citronferry::replay {

/// What happened to one request during a replay.
struct RequestRecord {
  QueueName queue;
  TeamName team;
  Priority priority = Priority::kInteractive;
  TimePoint arrived;
  TimePoint deadline;
  std::optional<TimePoint> first_start;
  std::optional<TimePoint> ended;
  std::optional<dispatch::Verdict> verdict;
  std::string reason;
  bool cancelled = false;
  int executions = 0;  ///< Attempts that ran on an executor, even if the response was lost.
  int verdicts = 0;    ///< Number of verdicts; more than one is an error of the dispatcher.
};

/// The start of one attempt.
struct StartRecord {
  TimePoint at;
  InstanceId executor;
  dispatch::RequestNumber number = 0;
};

/// What the dispatcher did during a replay.
struct DispatchRecord {
  std::map<dispatch::RequestNumber, RequestRecord> requests;
  std::vector<StartRecord> starts;
  std::map<InstanceId, int> max_in_use;  ///< Most slots of an executor in use at one time.
};

/// @return the lower-case name of a verdict, with underscores.
std::string VerdictName(dispatch::Verdict verdict);

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_INTERNAL_DISPATCH_RECORD_H_
