// PoolScheduler: life cycle of runs. Processes the results of start and stop orders and abandons
// runs on unresponsive executors.
#include <algorithm>
#include <utility>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {
namespace {

// Delay before an unconfirmed stop is repeated.
constexpr Duration kStopRetryInterval = 500ms;
// How long no tasks are placed on an executor that lacked capacity for a start: until its next
// report the scheduler's view of its free capacity is outdated.
constexpr Duration kNoCapacityPause = 100ms;
// How long the owner leaves a start without a response to begin. The first one is replaced at once;
// the time doubles with each further one, since the executors of a task may all be late.
constexpr Duration kFirstTimeForLateStart = 250ms;
constexpr int kMaxDoublings = 3;

/// @param earlier number of starts of the task in a row that had no response either.
Duration TimeForLateStart(int earlier) {
  if (earlier == 0) return Duration::zero();
  return kFirstTimeForLateStart * (1 << std::min(earlier - 1, kMaxDoublings));
}

std::string_view NameOf(StartAnswer answer) {
  switch (answer) {
    case StartAnswer::kStarted:
      return "started";
    case StartAnswer::kFenced:
      return "fenced";
    case StartAnswer::kRunOutdated:
      return "run outdated";
    case StartAnswer::kDeadlinePassed:
      return "lease over on arrival";
    case StartAnswer::kInsufficientCapacity:
      return "insufficient capacity";
    case StartAnswer::kTicketInvalid:
      return "ticket invalid";
    case StartAnswer::kMalformed:
      return "malformed";
    case StartAnswer::kUnhealthy:
      return "executor unhealthy";
    case StartAnswer::kOtherExecutor:
      return "other executor";
    case StartAnswer::kNotSent:
      return "not sent";
    case StartAnswer::kUnknown:
      return "unanswered";
    case StartAnswer::kWithdrawn:
      return "withdrawn";
  }
  return "";
}

/// @return the number of the answer, its name and the reason, for the log.
std::string Describe(StartAnswer answer, std::string_view reason) {
  std::string text = std::to_string(static_cast<int>(answer)) + ", ";
  text += NameOf(answer);
  if (!reason.empty()) text.append(": ").append(reason);
  return text;
}

}  // namespace

void PoolScheduler::Charge(ExecutorState& executor, const Job& job, int step) {
  executor.used += CountedRequest(job.spec(step));
  // The quota of a team covers best-effort tasks in full.
  m_team_quotas.Charge(job.definition()->team, job.spec(step).request);
}

void PoolScheduler::Refund(ExecutorState& executor, const Job& job, int step) {
  executor.used -= CountedRequest(job.spec(step));
  m_team_quotas.Refund(job.definition()->team, job.spec(step).request);
}

Run* PoolScheduler::FindRun(const TaskId& id, int64_t run, const ExecutorId& executor) {
  Job* job = FindJobMutable(id.job);
  Task* task = job ? job->FindTask(id) : nullptr;
  if (!task) return nullptr;
  const auto found = std::find_if(task->runs.begin(), task->runs.end(), [&](const Run& candidate) {
    return candidate.id == run && candidate.executor == executor;
  });
  return found == task->runs.end() ? nullptr : &*found;
}

const Run* PoolScheduler::FindRun(const TaskId& id, int64_t run, const ExecutorId& executor) const {
  return const_cast<PoolScheduler*>(this)->FindRun(id, run, executor);
}

void PoolScheduler::RemoveRun(const TaskId& id, int64_t run, ExecutorState& executor) {
  const auto ref =
      std::find_if(executor.runs.begin(), executor.runs.end(),
                   [&](const RunRef& entry) { return entry.run == run && entry.task == id; });
  if (ref == executor.runs.end()) return;
  Refund(executor, *ref->job, id.step);
  if (Task* task = ref->job->FindTask(id)) {
    std::erase_if(task->runs, [&](const Run& candidate) {
      return candidate.id == run && candidate.executor == executor.info.id;
    });
  }
  executor.runs.erase(ref);
  m_plan_needed = true;
}

void PoolScheduler::DropAllRuns(ExecutorState& executor, std::string_view reason) {
  for (const RunRef& ref : std::vector<RunRef>(executor.runs)) {
    const Run* run = FindRun(ref.task, ref.run, executor.info.id);
    Note("run_lost", ref.task, ref.run, executor.info.id,
         std::string(reason).append(run && run->copy_outstanding ? ", start unanswered" : ""));
    RemoveRun(ref.task, ref.run, executor);
  }
}

void PoolScheduler::OnRestarted(ExecutorState& executor, int64_t incarnation_unix_ms,
                                TimePoint now) {
  const ExecutorId& id = executor.info.id;
  Note("executor_restarted", {}, 0, id,
       DescribeEnds(executor) + ", incarnation " +
           std::to_string(executor.info.incarnation_unix_ms) + " to " +
           std::to_string(incarnation_unix_ms));
  executor.past_incarnations.push_back(executor.info.incarnation_unix_ms);
  executor.info.incarnation_unix_ms = incarnation_unix_ms;
  executor.incarnation_number = ++m_last_incarnation_number;
  executor.applied_end = executor.durable_end = 0;
  m_durations->run_times().executors().Forget(id.view());
  executor.link_durable = false;
  executor.start_window = {};
  executor.reported = executor.taken_over = false;
  executor.lease_uncertain = true;
  executor.incarnation_known_at = now;
  // Until the new incarnation has a token of its own, a late call may extend its lease.
  executor.lease_bound = std::max(executor.lease_bound,
                                  now + m_options.late_call_window + m_options.longest_lease_bound);
  executor.required_fences = ++executor.fences;
  m_dirty_links.insert(id);
  std::erase_if(m_abandoned_runs, [&](const auto& abandoned) { return abandoned.second == id; });
  for (const RunRef& ref : std::vector<RunRef>(executor.runs)) {
    Run* run = FindRun(ref.task, ref.run, id);
    if (!run || (run->listed && !run->copy_outstanding)) {
      Note("run_lost", ref.task, ref.run, id, "executor_reborn");
      RemoveRun(ref.task, ref.run, executor);
      continue;
    }
    run->listed = false;
    run->percent = 0;
    run->fence = executor.fences;
    // A response of the previous incarnation does not tell whether a copy reaches the new one.
    if (run->copy_outstanding) run->confirmed_at.reset();
  }
}

void PoolScheduler::AbandonRuns(ExecutorState& executor) {
  for (const RunRef& ref : executor.runs) {
    m_abandoned_runs.insert_or_assign({ref.task, ref.run}, executor.info.id);
  }
  DropAllRuns(executor, "lease_ran_out");
  // The next lease must not let a start begin that was made under this one.
  executor.required_fences = ++executor.fences;
}

void PoolScheduler::FenceStart(ExecutorState& executor, Run& run) {
  run.fence_at.reset();
  run.fence = ++executor.fences;
}

void PoolScheduler::OrderStop(const TaskId& task, Run& run, std::string_view reason,
                              TimePoint now) {
  if (run.stop_ordered_at && now - *run.stop_ordered_at < kStopRetryInterval) return;
  Note("stop_ordered", task, run.id, run.executor,
       std::string(reason).append(", at ").append(std::to_string(run.percent)).append(" percent"));
  run.phase = RunPhase::kStopping;
  run.stop_ordered_at = now;
  // Until this order is confirmed, the run may still appear on the executor.
  run.confirmed_at.reset();
  const ExecutorState* executor = FindExecutor(run.executor);
  m_orders.stops.push_back(
      {.executor = run.executor,
       .task = task,
       .run = run.id,
       .incarnation_unix_ms = executor ? executor->info.incarnation_unix_ms : 0});
  m_plan_needed = true;  // Plan() returns the orders.
}

void PoolScheduler::StopRun(const StopOrder& stop, TimePoint now) {
  if (Run* run = FindRun(stop.task, stop.run, stop.executor)) {
    OrderStop(stop.task, *run, "eviction", now);
  }
}

void PoolScheduler::StopAllRuns(Job& job, TimePoint now) {
  for (auto& [number, occurrence] : job.occurrences()) {
    for (size_t step = 0; step < occurrence.steps.size(); ++step) {
      std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (size_t index = 0; index < tasks.size(); ++index) {
        const TaskId id{.job = job.id(),
                        .occurrence = number,
                        .step = static_cast<int>(step),
                        .index = static_cast<int>(index)};
        for (Run& run : tasks[index].runs) OrderStop(id, run, "job ended", now);
      }
    }
  }
}

void PoolScheduler::StopOtherRuns(Job& job, const TaskId& id, int64_t except_run, TimePoint now) {
  TaskId member = id;
  // The members of a gang have the same run id, and the end of one stands for all.
  const bool gang = job.spec(id.step).gang_scheduled;
  for (member.index = gang ? 0 : id.index; Task* task = job.FindTask(member); ++member.index) {
    for (Run& run : task->runs) {
      if (run.id != except_run) OrderStop(member, run, "task done", now);
    }
    if (!gang) return;
  }
}

bool PoolScheduler::IsWanted(const StartOrder& order) {
  const Run* run = FindRun(order.task, order.run, order.executor);
  return run && run->phase == RunPhase::kOrdered;
}

void PoolScheduler::OnStartUnanswered(const StartOrder& order) {
  if (Run* run = FindRun(order.task, order.run, order.executor)) run->copy_outstanding = true;
}

void PoolScheduler::NoteSending(ExecutorState& executor, const Run& run, StartAnswer answer,
                                TimePoint now) {
  if (answer == StartAnswer::kNotSent) return executor.start_window.OnNotSent(run.ordered_at, now);
  // Another start may be ordered, which no other event would cause.
  m_plan_needed |= executor.start_window.limited() && m_waiting_cores > 0;
  const bool answered = answer != StartAnswer::kUnknown && answer != StartAnswer::kWithdrawn;
  if (answered) executor.start_window.OnSent();
}

void PoolScheduler::OnStartAnswer(const StartOrder& order, StartAnswer answer, TimePoint now,
                                  std::string_view reason) {
  ExecutorState* executor = FindExecutor(order.executor);
  Run* run = FindRun(order.task, order.run, order.executor);
  if (!executor || !run) return;
  NoteSending(*executor, *run, answer, now);
  switch (answer) {
    case StartAnswer::kStarted:
      if (run->phase == RunPhase::kOrdered) run->phase = RunPhase::kRunning;
      if (run->phase == RunPhase::kRunning) run->confirmed_at = now;
      FindJobMutable(order.task.job)->FindTask(order.task)->unanswered_starts = 0;
      FindJobMutable(order.task.job)->MarkBegun();
      return;
    case StartAnswer::kRunOutdated:
      // An earlier attempt, whose response was lost, may have started the run, which may have ended
      // since. The next report lists its end, or shows that the run does not exist.
      Note("start_outdated", order.task, order.run, order.executor);
      if (run->phase == RunPhase::kOrdered) run->phase = RunPhase::kRunning;
      run->confirmed_at = now;
      return;
    case StartAnswer::kUnknown:
      // The run may have started, or may start later. It goes on if a report lists it. Otherwise
      // the task is placed again once the executor rejects the start.
      Note("start_unanswered", order.task, order.run, order.executor, reason);
      run->copy_outstanding = true;
      if (run->listed) return;  // Copies of its start have no effect.
      run->fence_at =
          now + TimeForLateStart(
                    FindJobMutable(order.task.job)->FindTask(order.task)->unanswered_starts++);
      if (now >= *run->fence_at) FenceStart(*executor, *run);
      return;
    case StartAnswer::kOtherExecutor:
      // The address of a former incarnation may have been given away.
      if (order.incarnation_unix_ms != executor->info.incarnation_unix_ms) break;
      OnExecutorGone(order.executor, now);
      return;
    case StartAnswer::kFenced:
      m_fenced = true;
      break;
    case StartAnswer::kInsufficientCapacity:
      executor->no_capacity_until = now + kNoCapacityPause;
      break;
    case StartAnswer::kUnhealthy:
    case StartAnswer::kMalformed:
      executor->health.Quarantine(now);
      break;
    case StartAnswer::kTicketInvalid:
      if (Step* step = FindStep(order.task)) step->tickets.Invalidate(executor->incarnation_number);
      break;
    case StartAnswer::kDeadlinePassed:
    case StartAnswer::kNotSent:
    case StartAnswer::kWithdrawn:
      break;
  }
  Note("start_refused", order.task, order.run, order.executor, Describe(answer, reason));
  RemoveRun(order.task, order.run, *executor);
  StopIncompleteGang(*FindJobMutable(order.task.job), order.task, now);
}

void PoolScheduler::StopIncompleteGang(Job& job, const TaskId& missing, TimePoint now) {
  if (!job.spec(missing.step).gang_scheduled) return;
  TaskId member = missing;
  for (member.index = 0; Task* task = job.FindTask(member); ++member.index) {
    for (Run& run : task->runs) OrderStop(member, run, "gang incomplete", now);
  }
}

void PoolScheduler::OnStopAnswer(const StopOrder& order, StopAnswer answer, TimePoint now) {
  const ExecutorState* executor = FindExecutor(order.executor);
  // The address of a former incarnation may have been given away.
  const bool present = executor && order.incarnation_unix_ms == executor->info.incarnation_unix_ms;
  if (answer == StopAnswer::kOtherExecutor && present) {
    return OnExecutorGone(order.executor, now);
  }
  if (answer == StopAnswer::kFenced) m_fenced = true;
  if (answer == StopAnswer::kUnknown) {
    Note("stop_unanswered", order.task, order.run, order.executor);
  }
  if (answer != StopAnswer::kAccepted) return;
  if (Run* run = FindRun(order.task, order.run, order.executor)) run->confirmed_at = now;
}

bool PoolScheduler::WithinDisruptionBudget(const RunRef& ref, int already_stopping) const {
  const StepSpec& spec = ref.job->spec(ref.task.step);
  if (spec.max_unavailable <= 0) return true;
  const std::vector<Task>& tasks = ref.job->occurrences()
                                       .at(ref.task.occurrence)
                                       .steps[static_cast<size_t>(ref.task.step)]
                                       .tasks;
  // A run on an executor that does not respond may have ended.
  const auto is_ready = [this](const Task& task) {
    return std::any_of(task.runs.begin(), task.runs.end(), [this](const Run& run) {
      const auto executor = m_executors.find(run.executor);
      return run.phase == RunPhase::kRunning && run.percent >= kReadyPercent &&
             executor != m_executors.end() && executor->second.responding;
    });
  };
  const Task& own = tasks[static_cast<size_t>(ref.task.index)];
  const auto others_unavailable = std::count_if(tasks.begin(), tasks.end(), [&](const Task& task) {
    return &task != &own && !is_ready(task);
  });
  return others_unavailable + already_stopping < spec.max_unavailable;
}

void PoolScheduler::FenceLateStarts(ExecutorState& executor, TimePoint now) {
  for (const RunRef& ref : executor.runs) {
    Run* run = FindRun(ref.task, ref.run, executor.info.id);
    if (run && run->fence_at && now >= *run->fence_at) FenceStart(executor, *run);
  }
}

void PoolScheduler::RetryStops(const ExecutorState& executor, TimePoint now) {
  for (const RunRef& ref : executor.runs) {
    Run* run = FindRun(ref.task, ref.run, executor.info.id);
    // After a confirmed stop the executor reports the end.
    if (!run || run->phase != RunPhase::kStopping || run->confirmed_at) continue;
    // Another task of the step may have become unavailable since the first attempt.
    const bool reduces_availability = ref.job->spec(ref.task.step).long_running &&
                                      !ref.job->is_final() && run->percent >= kReadyPercent;
    if (reduces_availability && !WithinDisruptionBudget(ref, 0)) continue;
    OrderStop(ref.task, *run, "repeated", now);
  }
}

}  // namespace citronferry::scheduling
