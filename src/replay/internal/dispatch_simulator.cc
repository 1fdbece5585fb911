#include "replay/internal/dispatch_simulator.h"

#include <QJsonArray>
#include <algorithm>
#include <array>

#include "replay/internal/fields.h"

namespace citronferry::replay {
namespace {

using dispatch::AttemptOutcome;

constexpr Duration kTickPeriod = 100ms;
constexpr Duration kDrainDuration = 24h * 40;

Priority ParsePriority(const std::string& name) {
  static constexpr std::array<std::string_view, 4> kNames{"urgent", "interactive", "batch",
                                                          "watcher"};
  const auto found = std::find(kNames.begin(), kNames.end(), name);
  return found == kNames.end() ? Priority::kInteractive
                               : static_cast<Priority>(found - kNames.begin());
}

AttemptOutcome ParseOutcome(const std::string& name) {
  static constexpr std::array<std::string_view, 4> kNames{"answered", "not_run", "failed",
                                                          "unknown"};
  const auto found = std::find(kNames.begin(), kNames.end(), name);
  return found == kNames.end() ? AttemptOutcome::kUnknown
                               : static_cast<AttemptOutcome>(found - kNames.begin());
}

dispatch::QueuePolicy ParseQueue(const QJsonObject& queue) {
  dispatch::QueuePolicy policy;
  policy.pool = PoolName(TextField(queue, "pool"));
  policy.priority = ParsePriority(TextField(queue, "priority"));
  policy.idempotent = queue.value(QLatin1String("idempotent")).toBool();
  policy.declared_run_time = MillisecondsField(queue, "declared_run_ms", 1s);
  policy.wait_limit = MillisecondsField(queue, "wait_limit_ms", 30s);
  policy.max_queued = static_cast<size_t>(NumberField(queue, "max_queued", 1000));
  policy.max_attempts = static_cast<int>(NumberField(queue, "max_attempts", 3));
  return policy;
}

}  // namespace

DispatchSimulator::EventHandler DispatchSimulator::FindHandler(std::string_view event) {
  struct Entry {
    std::string_view name;
    EventHandler handler;
  };
  static constexpr std::array<Entry, 10> kHandlers{{
      {"policy", &DispatchSimulator::OnPolicy},
      {"executors", &DispatchSimulator::OnExecutors},
      {"request", &DispatchSimulator::OnRequest},
      {"requests", &DispatchSimulator::OnRequests},
      {"cancel", &DispatchSimulator::OnCancel},
      {"cancel_range", &DispatchSimulator::OnCancelRange},
      {"executor_fault", &DispatchSimulator::OnExecutorFault},
      {"executor_leaving", &DispatchSimulator::OnExecutorLeaving},
      {"executor_gone", &DispatchSimulator::OnExecutorGone},
      {"end", &DispatchSimulator::OnEnd},
  }};
  const auto* found = std::find_if(kHandlers.begin(), kHandlers.end(),
                                   [event](const Entry& entry) { return entry.name == event; });
  return found == kHandlers.end() ? nullptr : found->handler;
}

std::string DispatchSimulator::Run(const Trace& trace) {
  for (const TraceLine& line : trace.events) {
    const EventHandler handler = FindHandler(line.event);
    if (!handler) {
      return "line " + std::to_string(line.line) + ": unknown event \"" + line.event + '"';
    }
    AdvanceTo(line.at);
    (this->*handler)(line);
  }
  // Lets all running and queued requests end.
  AdvanceTo(trace.events.back().at + kDrainDuration);
  return {};
}

void DispatchSimulator::OnPolicy(const TraceLine& line) {
  m_policy = {};
  for (const auto& item : line.fields.value(QLatin1String("queues")).toArray()) {
    const QJsonObject queue = item.toObject();
    m_policy.queues[QueueName(TextField(queue, "name"))] = ParseQueue(queue);
  }
  for (const auto& item : line.fields.value(QLatin1String("pools")).toArray()) {
    const QJsonObject pool = item.toObject();
    m_policy.pools[PoolName(TextField(pool, "name"))] = {
        .urgent_reserve = NumberField(pool, "urgent_reserve", 0.25)};
  }
  for (const auto& item : line.fields.value(QLatin1String("teams")).toArray()) {
    const QJsonObject team = item.toObject();
    m_policy.teams[TeamName(TextField(team, "name"))] = {.weight = NumberField(team, "weight", 1)};
  }
  ProcessEvent(dispatch::PolicyChanged{m_policy}, line.at);
}

void DispatchSimulator::OnExecutors(const TraceLine& line) {
  m_executors.clear();
  for (const auto& item : line.fields.value(QLatin1String("executors")).toArray()) {
    const QJsonObject executor = item.toObject();
    const InstanceId id(TextField(executor, "id"));
    m_executors[id] = {.id = id,
                       .pool = PoolName(TextField(executor, "pool")),
                       .slots = static_cast<int>(NumberField(executor, "slots", 8)),
                       .leaving = executor.value(QLatin1String("leaving")).toBool()};
  }
  ProcessExecutorChange(line.at);
}

void DispatchSimulator::OnRequest(const TraceLine& line) {
  SubmitRequest(line, static_cast<dispatch::RequestNumber>(NumberField(line.fields, "id", 0)),
                line.at);
}

void DispatchSimulator::OnRequests(const TraceLine& line) {
  const auto first = static_cast<dispatch::RequestNumber>(NumberField(line.fields, "first_id", 0));
  const int count = static_cast<int>(NumberField(line.fields, "count", 0));
  const Duration over = MillisecondsField(line.fields, "over_ms", Duration::zero());
  for (int i = 0; i < count; ++i) {
    ScheduleArrival(line.at + over * i / count, line,
                    first + static_cast<dispatch::RequestNumber>(i));
  }
}

void DispatchSimulator::ScheduleArrival(TimePoint at, const TraceLine& line,
                                        dispatch::RequestNumber number) {
  m_pending_arrivals.emplace(at, PendingArrival{.line = line, .number = number});
}

void DispatchSimulator::OnCancel(const TraceLine& line) {
  Cancel(static_cast<dispatch::RequestNumber>(NumberField(line.fields, "id", 0)), line.at);
}

void DispatchSimulator::OnCancelRange(const TraceLine& line) {
  const auto first = static_cast<dispatch::RequestNumber>(NumberField(line.fields, "first_id", 0));
  const int count = static_cast<int>(NumberField(line.fields, "count", 0));
  for (int i = 0; i < count; ++i) {
    Cancel(first + static_cast<dispatch::RequestNumber>(i), line.at);
  }
}

void DispatchSimulator::OnExecutorFault(const TraceLine& line) {
  const AttemptOutcome outcome = ParseOutcome(TextField(line.fields, "outcome"));
  const QJsonValue runs = line.fields.value(QLatin1String("runs"));
  m_behaviours[InstanceId(TextField(line.fields, "executor"))] = {
      .outcome = outcome,
      .slowdown = NumberField(line.fields, "slowdown", 1.0),
      .runs =
          runs.toBool(outcome == AttemptOutcome::kAnswered || outcome == AttemptOutcome::kUnknown)};
}

void DispatchSimulator::OnExecutorLeaving(const TraceLine& line) {
  const auto executor = m_executors.find(InstanceId(TextField(line.fields, "executor")));
  if (executor == m_executors.end()) return;
  executor->second.leaving = true;
  ProcessExecutorChange(line.at);
}

void DispatchSimulator::OnExecutorGone(const TraceLine& line) {
  const InstanceId id(TextField(line.fields, "executor"));
  m_executors.erase(id);
  ProcessExecutorChange(line.at);
  for (auto& [at, pending] : m_pending_completions) {
    if (pending.executor == id) pending.outcome = AttemptOutcome::kUnknown;
  }
}

void DispatchSimulator::OnEnd(const TraceLine&) {}

void DispatchSimulator::SubmitRequest(const TraceLine& line, dispatch::RequestNumber number,
                                      TimePoint at) {
  const QueueName queue(TextField(line.fields, "queue"));
  const TimePoint deadline = at + MillisecondsField(line.fields, "deadline_ms", 30s);
  m_run_times[number] = MillisecondsField(line.fields, "run_ms", 20ms);
  const auto policy = m_policy.queues.find(queue);
  RequestRecord record{.queue = queue,
                       .team = TeamName(TextField(line.fields, "team")),
                       .arrived = at,
                       .deadline = deadline};
  if (policy != m_policy.queues.end()) record.priority = policy->second.priority;
  const TeamName team = record.team;
  m_record.requests[number] = std::move(record);
  ProcessEvent(
      dispatch::RequestArrived{
          {.number = number, .queue = queue, .team = team, .deadline = deadline}},
      at);
}

void DispatchSimulator::Cancel(dispatch::RequestNumber number, TimePoint at) {
  const auto request = m_record.requests.find(number);
  if (request != m_record.requests.end() && !request->second.verdict) {
    request->second.cancelled = true;
  }
  ProcessEvent(dispatch::RequestCancelled{.number = number}, at);
}

void DispatchSimulator::AdvanceTo(TimePoint at) {
  while (true) {
    const bool idle =
        m_pending_completions.empty() && m_pending_arrivals.empty() && m_dispatcher.queued() == 0;
    TimePoint next = idle ? at : std::min(at, m_next_tick);
    if (!m_pending_completions.empty()) next = std::min(next, m_pending_completions.begin()->first);
    if (!m_pending_arrivals.empty()) next = std::min(next, m_pending_arrivals.begin()->first);
    if (!m_pending_completions.empty() && m_pending_completions.begin()->first <= next) {
      const PendingCompletion ended =
          m_pending_completions.extract(m_pending_completions.begin()).mapped();
      --m_slots_in_use[ended.executor];
      ProcessEvent(dispatch::AttemptEnded{.number = ended.number, .outcome = ended.outcome}, next);
    } else if (!m_pending_arrivals.empty() && m_pending_arrivals.begin()->first <= next) {
      const PendingArrival arrival =
          m_pending_arrivals.extract(m_pending_arrivals.begin()).mapped();
      SubmitRequest(arrival.line, arrival.number, next);
    } else if (!idle && m_next_tick <= next) {
      ProcessEvent(dispatch::Tick{}, next);
      m_next_tick = next + kTickPeriod;
    } else {
      break;
    }
  }
  m_next_tick = std::max(m_next_tick, at);
}

void DispatchSimulator::ProcessEvent(const dispatch::Event& event, TimePoint at) {
  for (const dispatch::Action& action : m_dispatcher.Handle(event, at)) {
    if (const auto* start = std::get_if<dispatch::StartAttempt>(&action)) {
      SimulateAttempt(*start, at);
    } else {
      RecordVerdict(std::get<dispatch::EndRequest>(action), at);
    }
  }
}

void DispatchSimulator::SimulateAttempt(const dispatch::StartAttempt& start, TimePoint at) {
  RequestRecord& request = m_record.requests[start.number];
  if (!request.first_start) request.first_start = at;
  m_record.starts.push_back({.at = at, .executor = start.executor, .number = start.number});
  const int in_use = ++m_slots_in_use[start.executor];
  int& most = m_record.max_in_use[start.executor];
  most = std::max(most, in_use);

  const ExecutorBehaviour& behaviour = m_behaviours[start.executor];
  if (behaviour.runs) ++request.executions;
  Duration run_time = FromSeconds(ToSeconds(m_run_times[start.number]) * behaviour.slowdown);
  AttemptOutcome outcome = behaviour.outcome;
  // An executor refuses or fails a request at once; a lost response is detected at the deadline.
  if (outcome == AttemptOutcome::kNotRun || outcome == AttemptOutcome::kFailed) run_time = 1ms;
  const Duration left = std::max(request.deadline - at, Duration(1ms));
  if (outcome == AttemptOutcome::kUnknown || run_time > left) {
    outcome = AttemptOutcome::kUnknown;
    run_time = left;
  }
  m_pending_completions.emplace(
      at + run_time,
      PendingCompletion{.number = start.number, .outcome = outcome, .executor = start.executor});
}

void DispatchSimulator::RecordVerdict(const dispatch::EndRequest& end, TimePoint at) {
  RequestRecord& request = m_record.requests[end.number];
  ++request.verdicts;
  request.ended = at;
  request.verdict = end.verdict;
  request.reason = end.reason;
}

void DispatchSimulator::ProcessExecutorChange(TimePoint at) {
  dispatch::ExecutorsChanged changed;
  for (const auto& [id, executor] : m_executors) changed.executors.push_back(executor);
  ProcessEvent(changed, at);
}

}  // namespace citronferry::replay
