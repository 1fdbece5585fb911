#include "replay/internal/expectations.h"

#include <algorithm>
#include <array>
#include <limits>

#include "replay/internal/fields.h"

namespace citronferry::replay {
namespace {

/// Computes a metric of a replay, which is compared with the bounds of an expectation.
using MetricFunction = double (*)(const QJsonObject& fields, const DispatchRecord& record);

/// @return whether the filters of an expectation (queue, team, verdict, identifiers) select a
/// request.
bool Selects(const QJsonObject& fields, dispatch::RequestNumber number,
             const RequestRecord& request) {
  const auto differs = [&fields](const char* key, std::string_view value) {
    return fields.contains(QLatin1String(key)) && TextField(fields, key) != value;
  };
  if (differs("queue", request.queue.view()) || differs("team", request.team.view())) return false;
  if (differs("verdict", request.verdict ? VerdictName(*request.verdict) : "none")) return false;
  const double first = NumberField(fields, "first_id", 0);
  const double last = NumberField(fields, "last_id", std::numeric_limits<double>::max());
  return static_cast<double>(number) >= first && static_cast<double>(number) <= last;
}

template <typename Function>
void ForEachSelected(const QJsonObject& fields, const DispatchRecord& record, Function function) {
  for (const auto& [number, request] : record.requests) {
    if (Selects(fields, number, request)) function(request);
  }
}

double CountRequests(const QJsonObject& fields, const DispatchRecord& record) {
  int count = 0;
  ForEachSelected(fields, record, [&](const RequestRecord&) { ++count; });
  return count;
}

double MaxExecutions(const QJsonObject& fields, const DispatchRecord& record) {
  int most = 0;
  ForEachSelected(fields, record,
                  [&](const RequestRecord& request) { most = std::max(most, request.executions); });
  return most;
}

/// Requests that were reported as not run although they ran.
double CountFalseNotRun(const QJsonObject& fields, const DispatchRecord& record) {
  int count = 0;
  ForEachSelected(fields, record, [&](const RequestRecord& request) {
    if (request.verdict == dispatch::Verdict::kNotRun && request.executions > 0) ++count;
  });
  return count;
}

/// Requests that ended without exactly one verdict, except those cancelled before a verdict.
double CountWithoutSingleVerdict(const QJsonObject& fields, const DispatchRecord& record) {
  int count = 0;
  ForEachSelected(fields, record, [&](const RequestRecord& request) {
    if (request.verdicts != 1 && !(request.cancelled && request.verdicts == 0)) ++count;
  });
  return count;
}

double MaxStartDelayMs(const QJsonObject& fields, const DispatchRecord& record) {
  Duration longest{};
  ForEachSelected(fields, record, [&](const RequestRecord& request) {
    if (request.first_start) longest = std::max(longest, *request.first_start - request.arrived);
  });
  return ToSeconds(longest) * 1000;
}

double CountAnsweredLate(const QJsonObject& fields, const DispatchRecord& record) {
  int count = 0;
  ForEachSelected(fields, record, [&](const RequestRecord& request) {
    if (request.verdict == dispatch::Verdict::kAnswered && *request.ended > request.deadline) {
      ++count;
    }
  });
  return count;
}

double CountStartsOnExecutor(const QJsonObject& fields, const DispatchRecord& record) {
  const std::string executor = TextField(fields, "executor");
  const TimePoint after(MillisecondsField(fields, "after_ms", Duration::zero()));
  const TimePoint before(MillisecondsField(fields, "before_ms", 24h * 365));
  return static_cast<double>(
      std::count_if(record.starts.begin(), record.starts.end(), [&](const StartRecord& start) {
        return start.executor.view() == executor && start.at > after && start.at < before;
      }));
}

double MaxInUse(const QJsonObject&, const DispatchRecord& record) {
  int most = 0;
  for (const auto& [executor, in_use] : record.max_in_use) most = std::max(most, in_use);
  return most;
}

struct MetricEntry {
  std::string_view name;
  MetricFunction compute;
};

constexpr std::array<MetricEntry, 8> kMetrics{{
    {"requests", &CountRequests},
    {"max_executions", &MaxExecutions},
    {"false_not_run", &CountFalseNotRun},
    {"without_one_verdict", &CountWithoutSingleVerdict},
    {"max_start_delay_ms", &MaxStartDelayMs},
    {"answered_late", &CountAnsweredLate},
    {"starts_on_executor", &CountStartsOnExecutor},
    {"max_in_use", &MaxInUse},
}};

std::string Describe(double value) { return QString::number(value).toStdString(); }

}  // namespace

ExpectationResult CheckExpectation(const TraceLine& line, const DispatchRecord& record) {
  const std::string what = TextField(line.fields, "what");
  const auto* entry = std::find_if(kMetrics.begin(), kMetrics.end(),
                                   [&](const MetricEntry& m) { return m.name == what; });
  ExpectationResult result{.line = line.line};
  if (entry == kMetrics.end()) {
    result.description = "unknown metric \"" + what + '"';
    return result;
  }
  const bool has_least = line.fields.contains(QLatin1String("at_least"));
  const bool has_most = line.fields.contains(QLatin1String("at_most"));
  if (!has_least && !has_most) {
    result.description = what + ": neither at_least nor at_most is given";
    return result;
  }
  const double actual = entry->compute(line.fields, record);
  const double least = NumberField(line.fields, "at_least", std::numeric_limits<double>::lowest());
  const double most = NumberField(line.fields, "at_most", std::numeric_limits<double>::max());
  result.met = actual >= least && actual <= most;
  result.description = what + " = " + Describe(actual);
  if (has_least) result.description += ", at least " + Describe(least);
  if (has_most) result.description += ", at most " + Describe(most);
  const std::string why = TextField(line.fields, "why");
  if (!why.empty()) result.description += " (" + why + ')';
  return result;
}

}  // namespace citronferry::replay
