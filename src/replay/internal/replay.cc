#include "replay/replay.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "replay/internal/dispatch_simulator.h"
#include "replay/internal/expectations.h"
#include "replay/trace.h"

namespace citronferry::replay {
namespace {

namespace leaf = boost::leaf;

leaf::result<ReplayResult> Replay(std::string_view text) {
  leaf::result<Trace> read = ReadTrace(text);
  if (!read) return read.error();
  const Trace& trace = *read;
  ReplayResult result;
  DispatchSimulator simulator;
  result.error = simulator.Run(trace);
  if (!result.error.empty()) return result;
  for (const TraceLine& line : trace.expectations) {
    result.expectations.push_back(CheckExpectation(line, simulator.record()));
  }
  return result;
}

}  // namespace

bool ReplayResult::ok() const {
  return error.empty() && !expectations.empty() &&
         std::all_of(expectations.begin(), expectations.end(),
                     [](const ExpectationResult& result) { return result.met; });
}

ReplayResult ReplayTrace(std::string_view text) {
  return leaf::try_handle_all(
      [text] { return Replay(text); },
      [](const TraceError& error) {
        return ReplayResult{.error = "line " + std::to_string(error.line) + ": " + error.message};
      },
      [] { return ReplayResult{.error = "the trace cannot be read"}; });
}

}  // namespace citronferry::replay
