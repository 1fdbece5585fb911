#ifndef CITRONFERRY_REPLAY_REPLAY_H_
#define CITRONFERRY_REPLAY_REPLAY_H_

#include <string>
#include <string_view>
#include <vector>

namespace citronferry::replay {

/// The result of comparing one expectation of a trace with the replay.
struct ExpectationResult {
  int line = 0;  ///< Line of the expectation in the trace, from 1.
  bool met = false;
  std::string description;  ///< The expected and the actual value.
};

struct ReplayResult {
  std::string error;  ///< Why the trace could not be replayed; empty if it was.
  std::vector<ExpectationResult> expectations;

  /// @return whether the trace was replayed, has expectations, and all of them were met.
  bool ok() const;
};

/// Replays a trace in virtual time through the decision code that `serve` runs.
/// @param text content of the trace.
ReplayResult ReplayTrace(std::string_view text);

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_REPLAY_H_
