// PoolScheduler: processes executors' reports, which list ended and active runs. Adopts runs of
// previous owners and detects runs that are stuck or missing.
#include <algorithm>
#include <utility>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {
namespace {

// Time without progress after which a run is stuck. The longest tasks take 5 s, so even an executor
// slowed down six times completes one percent in 0.3 s.
constexpr Duration kStuckAfter = 2500ms;
// The same for long-running tasks, which become ready after a short start-up.
constexpr Duration kLongRunningStuckAfter = 5s;
// Thresholds as shares of a tail target. A tail latency may exceed its target for only some seconds
// and reports arrive about once a second, so the pace is reduced to 0 within three reports.
constexpr double kNearTargetShare = 0.85;
constexpr double kBelowTargetShare = 0.6;
constexpr int kPaceStepPercent = 10;
constexpr int kMinPacePercent = 10;  // A lower pace is set to 0.

std::string_view NameOf(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lease expired";
    case RunEnd::kBroken:
      return "gang broken";
    case RunEnd::kGangIncomplete:
      return "gang incomplete";
  }
  return "";
}

std::string DescribeEnd(const EndedRun& ended, std::string_view reason) {
  std::string text(NameOf(ended.end));
  return text.append(", number ").append(std::to_string(ended.number)).append(", ").append(reason);
}

}  // namespace

void PoolScheduler::OnReport(const ExecutorId& id, const ExecutorReport& report, int64_t fences,
                             TimePoint requested_at, TimePoint now) {
  ExecutorState* executor = FindExecutor(id);
  if (!executor) return;
  const int64_t known_incarnation = executor->info.incarnation_unix_ms;
  const bool differs = report.incarnation_unix_ms != 0 && known_incarnation != 0 &&
                       report.incarnation_unix_ms != known_incarnation;
  if (differs) {
    // Requested before the restart was known, it may come from the previous incarnation.
    if (requested_at < executor->incarnation_known_at) return;
    OnRestarted(*executor, report.incarnation_unix_ms, now);
  }
  if (report.incarnation_unix_ms != 0)
    executor->info.incarnation_unix_ms = report.incarnation_unix_ms;

  const auto undecided = std::exchange(executor->undecided_incarnation, std::nullopt);
  if (undecided && *undecided != executor->info.incarnation_unix_ms) {
    executor->past_incarnations.push_back(*undecided);
  }

  NoteMissedEnds(*executor, report.ended);
  for (const EndedRun& ended : report.ended) {
    if (ended.number <= executor->applied_end) continue;
    executor->applied_end = ended.number;
    ApplyEnd(*executor, ended, now);
  }
  for (const ActiveRun& active : report.active) ApplyActive(*executor, active, now);
  PaceBestEffortTasks(*executor);
  if (!report.incomplete) RemoveVanishedRuns(*executor, report, fences, requested_at, now);

  if (!executor->responding) {
    Note("executor_in_touch", {}, 0, id,
         DescribeEnds(*executor) + ", lease bound " +
             std::to_string(ToMilliseconds(now - executor->lease_bound)) + " ms ago");
  }
  if (!executor->responding || !executor->reported) m_plan_needed = true;
  executor->answered_fences = fences;
  if (std::exchange(executor->awaits_token, false)) m_plan_needed = true;
  if (std::exchange(executor->report_wanted, false)) m_seek_stragglers = m_plan_needed = true;
  executor->responding = executor->contacted = true;
  if (report.incomplete) {
    // What has ended on the executor is known with the rest of the ends.
    executor->report_wanted = true;
    if (!executor->reported) Note("report_incomplete", {}, 0, id, DescribeEnds(*executor));
    return;
  }
  executor->report_requested_at = requested_at;
  executor->reported = true;
}

void PoolScheduler::NoteMissedEnds(const ExecutorState& executor, std::span<const EndedRun> ended) {
  const auto next = std::find_if(ended.begin(), ended.end(), [&](const EndedRun& end) {
    return end.number > executor.applied_end;
  });
  // What a predecessor has acknowledged is not known until the first end is applied.
  if (next == ended.end() || (executor.taken_over && executor.applied_end == 0) ||
      next->number == executor.applied_end + 1)
    return;
  Note("ends_missed", {}, 0, executor.info.id,
       std::to_string(executor.applied_end + 1) + " to " + std::to_string(next->number - 1));
}

Task* PoolScheduler::FindReportedTask(const TaskId& id) {
  Job* job = FindJobMutable(id.job);
  if (!job) return nullptr;
  if (job->inherited()) job->OpenOccurrence(id.occurrence);
  return job->FindTask(id);
}

void PoolScheduler::ApplyEnd(ExecutorState& executor, const EndedRun& ended, TimePoint now) {
  m_unsettled.insert(executor.info.id);
  Job* job = FindJobMutable(ended.task.job);
  Task* task = FindReportedTask(ended.task);
  if (!task) {
    // The job or its occurrence has ended, so only the capacity is freed.
    RemoveRun(ended.task, ended.run, executor);
    if (!job) {
      Note("end_ignored", ended.task, ended.run, executor.info.id,
           DescribeEnd(ended, "unknown job"));
    }
    return;
  }
  job->MarkBegun();
  const Run* found = FindRun(ended.task, ended.run, executor.info.id);
  const std::optional<Run> run = found ? std::optional(*found) : std::nullopt;
  RemoveRun(ended.task, ended.run, executor);
  // Unless the executor has restarted since, its lease expired before the end was reported.
  const bool abandoned = m_abandoned_runs.contains({ended.task, ended.run});
  const bool known = !abandoned && (run || executor.inherited);
  // A start that was given up may have been carried out later. If that run succeeded, its task must
  // not run again; if it failed, it counts as an attempt.
  const bool has_effect =
      known || ended.end == RunEnd::kDone || (ended.end == RunEnd::kFailed && !abandoned);
  if (!known) {
    Note(has_effect ? "end_of_lost_run" : "end_ignored", ended.task, ended.run, executor.info.id,
         DescribeEnd(ended, abandoned ? "lease ran out" : "unknown run"));
  }
  if (!has_effect) return;
  const StepSpec& spec = job->spec(ended.task.step);
  if (known && spec.checkpoints && !ended.checkpoint.empty() && !task->done) {
    TaskId holder = ended.task;
    if (spec.gang_scheduled) holder.index = 0;
    job->FindTask(holder)->checkpoint = ended.checkpoint;
    MarkDirty(*job);
  }
  switch (ended.end) {
    case RunEnd::kDone:
      ApplyDone(executor, *job, ended, run ? &*run : nullptr, now);
      return;
    case RunEnd::kFailed:
      ApplyFailure(executor, *job, ended, now);
      return;
    case RunEnd::kLeaseExpired:
    case RunEnd::kGangIncomplete:
      Note(ended.end == RunEnd::kLeaseExpired ? "run_lapsed" : "gang_incomplete", ended.task,
           ended.run, executor.info.id);
      return;
    case RunEnd::kStopped:
    case RunEnd::kBroken:
      return;
  }
}

void PoolScheduler::ApplyDone(ExecutorState& executor, Job& job, const EndedRun& ended,
                              const Run* run, TimePoint now) {
  const StepSpec& spec = job.spec(ended.task.step);
  const Task& task = *job.FindTask(ended.task);
  executor.health.RecordDone();
  const auto other = std::find_if(task.runs.begin(), task.runs.end(), [&](const Run& candidate) {
    return candidate.id != ended.run && !candidate.adopted;
  });
  if (spec.long_running || task.done || job.is_final()) return;
  if (run && !run->adopted && task.checkpoint.empty()) {
    m_durations->Learn(*job.definition(), spec, executor.info, now - run->ordered_at, now);
    // The time of a run that its copy overtook is at least this, and the tail must not be lost.
    if (other != task.runs.end() && other->ordered_at < run->ordered_at) {
      if (const ExecutorState* slower = FindExecutor(other->executor)) {
        m_durations->Learn(*job.definition(), spec, slower->info, now - other->ordered_at, now);
      }
    }
  }
  // Stops copies, and runs that were started before this end was reported.
  StopOtherRuns(job, ended.task, ended.run, now);
  job.MarkDone(ended.task);
  MarkDirty(job);
  m_plan_needed = true;
  if (job.is_final()) {
    Note("job_completed", ended.task, ended.run, executor.info.id);
    Finish(job, now);
  }
}

void PoolScheduler::ApplyFailure(ExecutorState& executor, Job& job, const EndedRun& ended,
                                 TimePoint now) {
  const bool fails_elsewhere =
      std::any_of(job.failed_on().begin(), job.failed_on().end(),
                  [&](const ExecutorId& id) { return id != executor.info.id; });
  job.failed_on().insert(executor.info.id);
  const bool was_quarantined = executor.health.quarantined(now);
  executor.health.RecordFailure(job.id(), !fails_elsewhere, now);
  if (!was_quarantined && executor.health.quarantined(now)) {
    Note("executor_quarantined", ended.task, ended.run, executor.info.id, "tasks fail");
  }
  if (job.is_final()) return;
  job.FindTask(ended.task)->avoided = executor.info.id;
  const int max_attempts = PolicyOf(job).max_attempts;
  Note("task_failed", ended.task, ended.run, executor.info.id);
  MarkDirty(job);
  if (job.MarkFailed(ended.task, ended.run, max_attempts)) {
    Note("job_failed", ended.task, ended.run, executor.info.id, "no attempts left");
    Finish(job, now);
  }
}

void PoolScheduler::ApplyActive(ExecutorState& executor, const ActiveRun& active, TimePoint now) {
  Job* job = FindJobMutable(active.task.job);
  Task* task = FindReportedTask(active.task);
  if (!task) {
    Note("stray_run", active.task, active.run, executor.info.id, "unknown task");
    m_orders.stops.push_back({.executor = executor.info.id,
                              .task = active.task,
                              .run = active.run,
                              .incarnation_unix_ms = executor.info.incarnation_unix_ms});
    m_plan_needed = true;
    return;
  }
  job->MarkBegun();
  Run* run = FindRun(active.task, active.run, executor.info.id);
  if (!run) {
    Adopt(executor, *job, *task, active, now);
    return;
  }
  run->listed = true;
  run->fence_at.reset();
  task->unanswered_starts = 0;
  if (run->phase == RunPhase::kOrdered) {
    run->phase = RunPhase::kRunning;
    run->confirmed_at = now;
  }
  DetectStuckRun(executor, *job, *run, active, now);
}

void PoolScheduler::Adopt(ExecutorState& executor, Job& job, Task& task, const ActiveRun& active,
                          TimePoint now) {
  const StepSpec& spec = job.spec(active.task.step);
  // A member of a gang that a late start began waits for the others in vain.
  const bool lone_member = spec.gang_scheduled && !executor.inherited;
  const bool wanted =
      !job.is_final() && !task.done && !lone_member && (task.runs.empty() || spec.copies_allowed);
  task.runs.push_back({.id = active.run,
                       .executor = executor.info.id,
                       .phase = RunPhase::kRunning,
                       .ordered_at = now,
                       .confirmed_at = now,
                       .listed = true,
                       .percent = active.percent,
                       .percent_changed_at = now,
                       .metric = active.metric,
                       .adopted = true});
  executor.runs.push_back({.job = &job, .task = active.task, .run = active.run});
  Charge(executor, job, active.task.step);
  Note(wanted ? "run_adopted" : "stray_run", active.task, active.run, executor.info.id);
  if (!wanted) OrderStop(active.task, task.runs.back(), "not needed", now);
}

void PoolScheduler::DetectStuckRun(ExecutorState& executor, Job& job, Run& run,
                                   const ActiveRun& active, TimePoint now) {
  run.metric = active.metric;
  const StepSpec& spec = job.spec(active.task.step);
  if (active.percent != run.percent) {
    const bool became_ready = run.percent < kReadyPercent && active.percent >= kReadyPercent;
    if (spec.long_running && became_ready) executor.health.RecordReady(run.ordered_at);
    run.percent = active.percent;
    run.percent_changed_at = now;
    return;
  }
  const Duration limit = spec.long_running ? kLongRunningStuckAfter : kStuckAfter;
  if (run.phase != RunPhase::kRunning || spec.gang_scheduled || run.pace_percent < 100) return;
  if (run.percent >= kReadyPercent || now - run.percent_changed_at < limit) return;
  Note("run_stuck", active.task, active.run, executor.info.id);
  job.FindTask(active.task)->avoided = executor.info.id;
  executor.health.Quarantine(now);
  OrderStop(active.task, run, "no progress", now);
}

// Load pattern: best-effort tasks slow down user-facing tasks on the same executor, to a degree
// that changes within seconds. Their pace is halved or quartered as soon as a tail latency comes
// near its target or exceeds it, and raised again in small steps.
void PoolScheduler::PaceBestEffortTasks(ExecutorState& executor) {
  double worst = 0;  // Highest ratio of a tail latency to its target.
  bool has_best_effort_tasks = false;
  for (const RunRef& ref : executor.runs) {
    const StepSpec& spec = ref.job->spec(ref.task.step);
    has_best_effort_tasks |= spec.uses_leftover_cpu;
    if (spec.tail_target <= Duration::zero()) continue;
    const Run* run = FindRun(ref.task, ref.run, executor.info.id);
    if (!run) continue;
    worst = std::max(worst, run->metric / static_cast<double>(ToMilliseconds(spec.tail_target)));
  }
  if (!has_best_effort_tasks) {
    executor.best_effort_pace_percent = 100;
    return;
  }
  int& pace = executor.best_effort_pace_percent;
  if (worst > 1) {
    pace = pace / 4 < kMinPacePercent ? 0 : pace / 4;
  } else if (worst > kNearTargetShare) {
    pace = pace / 2 < kMinPacePercent ? 0 : pace / 2;
  } else if (worst < kBelowTargetShare) {
    pace = std::min(100, pace + kPaceStepPercent);
  }
  for (const RunRef& ref : executor.runs) {
    if (!ref.job->spec(ref.task.step).uses_leftover_cpu) continue;
    Run* run = FindRun(ref.task, ref.run, executor.info.id);
    if (!run || run->phase != RunPhase::kRunning || run->pace_percent == pace) continue;
    run->pace_percent = pace;
    m_orders.paces.push_back(
        {.executor = executor.info.id, .task = ref.task, .run = ref.run, .percent = pace});
    m_plan_needed = true;
  }
}

void PoolScheduler::OnPaceFailed(const PaceOrder& order) {
  constexpr int kUnknownPace = -1;
  if (Run* run = FindRun(order.task, order.run, order.executor)) run->pace_percent = kUnknownPace;
}

void PoolScheduler::RemoveVanishedRuns(ExecutorState& executor, const ExecutorReport& report,
                                       int64_t fences, TimePoint requested_at, TimePoint now) {
  for (const RunRef& ref : std::vector<RunRef>(executor.runs)) {
    const bool listed = std::any_of(
        report.active.begin(), report.active.end(),
        [&](const ActiveRun& active) { return active.run == ref.run && active.task == ref.task; });
    if (listed) continue;
    // If the occurrence has ended, the run exists in the executor's list only.
    bool never_began = false;
    if (const Run* run = FindRun(ref.task, ref.run, executor.info.id)) {
      const bool fenced = run->fence && *run->fence <= fences;
      const bool confirmed = run->confirmed_at && *run->confirmed_at < requested_at;
      if (!fenced && !confirmed) continue;
      never_began = fenced && run->phase == RunPhase::kOrdered;
      if (run->phase != RunPhase::kStopping) {
        Note(confirmed ? "run_vanished" : "start_fenced", ref.task, ref.run, executor.info.id);
      }
    }
    RemoveRun(ref.task, ref.run, executor);
    if (never_began) StopIncompleteGang(*ref.job, ref.task, now);
  }
}

}  // namespace citronferry::scheduling
