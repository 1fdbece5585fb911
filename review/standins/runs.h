#ifndef REVIEW_STANDINS_RUNS_H_
#define REVIEW_STANDINS_RUNS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// A run of a task, as an executor saw it.
struct RecordedRun {
  std::string executor;
  int64_t run = 0;
  int64_t begun_ms = 0;
  std::optional<int64_t> ended_ms;
  std::string how;                  ///< How it ended; "lost" if the executor was killed.
  std::optional<int64_t> noted_ms;  ///< When the executor was told that its end is known.
};

/// @param path of a record.
/// @return the runs of each task, in the order of their starts.
std::map<std::string, std::vector<RecordedRun>> ReadRuns(const std::string& path);

/// Checks the rule TWICE for tasks without `allowDuplicates`.
/// @return a line for each violation.
std::vector<std::string> FindRepeatedRuns(
    const std::map<std::string, std::vector<RecordedRun>>& runs);

}  // namespace review

#endif  // REVIEW_STANDINS_RUNS_H_
