#ifndef CITRONFERRY_REPLAY_REPLAY_H_
#define CITRONFERRY_REPLAY_REPLAY_H_

#include <string>
#include <string_view>
#include <vector>

namespace citronferry::replay {

/// One stated outcome and what was seen.
struct ExpectationResult {
  int line = 0;
  bool met = false;
  std::string description;  ///< What was expected and what was seen.
};

struct ReplayResult {
  std::string error;  ///< Why the trace could not be replayed; empty if it was.
  std::vector<ExpectationResult> expectations;

  /// @return whether the trace was replayed and every stated outcome was met.
  bool ok() const;
};

/// Replays a trace through the decisions that `serve` runs, in virtual time.
/// @param text content of the trace.
ReplayResult ReplayTrace(std::string_view text);

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_REPLAY_H_
