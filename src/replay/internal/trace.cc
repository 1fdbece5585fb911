#include "replay/trace.h"

#include <QJsonDocument>
#include <boost/leaf/error.hpp>

namespace citronferry::replay {
namespace {

namespace leaf = boost::leaf;

leaf::result<TraceLine> ReadLine(std::string_view text, int line) {
  QJsonParseError error;
  const QJsonDocument json =
      QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())), &error);
  if (!json.isObject()) {
    return leaf::new_error(
        TraceError{line, "not a JSON object: " + error.errorString().toStdString()});
  }
  TraceLine parsed{.line = line, .fields = json.object()};
  parsed.event = parsed.fields.value(QLatin1String("event")).toString().toStdString();
  if (parsed.event.empty()) return leaf::new_error(TraceError{line, "\"event\" is missing"});
  const QJsonValue at = parsed.fields.value(QLatin1String("at_ms"));
  if (parsed.event != "expect" && !at.isDouble()) {
    return leaf::new_error(TraceError{line, "\"at_ms\" must be a number of milliseconds"});
  }
  parsed.at = TimePoint(FromSeconds(at.toDouble() / 1000));
  return parsed;
}

}  // namespace

leaf::result<Trace> ReadTrace(std::string_view text) {
  Trace trace;
  int number = 0;
  while (!text.empty()) {
    ++number;
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty() || line.front() == '#') continue;
    leaf::result<TraceLine> read = ReadLine(line, number);
    if (!read) return read.error();
    TraceLine& parsed = *read;
    if (parsed.event == "expect") {
      trace.expectations.push_back(std::move(parsed));
      continue;
    }
    if (!trace.expectations.empty()) {
      return leaf::new_error(TraceError{number, "an event follows the expectations"});
    }
    if (!trace.events.empty() && parsed.at < trace.events.back().at) {
      return leaf::new_error(TraceError{number, "\"at_ms\" is less than that of the event before"});
    }
    trace.events.push_back(std::move(parsed));
  }
  if (trace.expectations.empty()) {
    return leaf::new_error(TraceError{number, "the trace has no expectations"});
  }
  return trace;
}

}  // namespace citronferry::replay
