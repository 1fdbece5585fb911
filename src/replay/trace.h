#ifndef CITRONFERRY_REPLAY_TRACE_H_
#define CITRONFERRY_REPLAY_TRACE_H_

#include <QJsonObject>
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace citronferry::replay {

/// One line of a trace.
struct TraceLine {
  int line = 0;       ///< Counts from 1.
  TimePoint at;       ///< Time since the start of the trace.
  std::string event;  ///< Kind of event; "expect" marks an expectation.
  QJsonObject fields;
};

/// A recorded trace: events in chronological order, then the expectations.
struct Trace {
  std::vector<TraceLine> events;
  std::vector<TraceLine> expectations;
};

/// Where and why a trace is invalid; passed as a Boost.LEAF error object.
struct TraceError {
  int line = 0;
  std::string message;
};

/// Reads a trace: one JSON object a line. Empty lines and lines that start with '#' are skipped.
/// @return the trace, or an error with a TraceError.
boost::leaf::result<Trace> ReadTrace(std::string_view text);

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_TRACE_H_
