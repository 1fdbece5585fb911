// PoolScheduler: second runs of tasks whose only run takes unusually long.
#include <algorithm>
#include <utility>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {
namespace {

// Share of the runs of a task's kind that a straggler has outlasted.
constexpr double kStragglerShare = 0.95;
// With fewer runs the share is not known.
constexpr double kMinSamples = 20;
// Share of the running tasks that may have a second run for this reason. At 3 stragglers in 100
// tasks it is reached only when the distributions are wrong.
constexpr double kMaxCopiedShare = 0.05;
// The run may have ended right after its executor was asked for the report, and a copy must not
// start more than a second after an end was listed.
constexpr Duration kMaxReportAge = 250ms;
constexpr Duration kCopyValidity = 500ms;

}  // namespace

bool PoolScheduler::IsStraggler(const Job& job, const TaskId& id, const Task& task,
                                TimePoint now) const {
  const StepSpec& spec = job.spec(id.step);
  const bool eligible = spec.copies_allowed && !spec.long_running && !spec.gang_scheduled &&
                        !spec.uses_leftover_cpu && !task.done && task.runs.size() == 1;
  // A failed copy counts as an attempt of the task, so a task that has failed gets none.
  if (!eligible || !task.failed_runs.empty() || PolicyOf(job).max_attempts < 2) return false;
  const Run& run = task.runs.front();
  if (run.phase != RunPhase::kRunning) return false;
  const runtimes::Prediction prediction = m_durations->Predict(job.definition()->queue, spec);
  if (prediction.samples() < kMinSamples) return false;
  const Duration elapsed = now - run.ordered_at;
  if (elapsed <= prediction.Quantile(kStragglerShare)) return false;
  return prediction.MeanRemaining(elapsed) > prediction.Mean();
}

std::optional<TimePoint> PoolScheduler::CopyDeadline(const Task& task, TimePoint now) const {
  TimePoint deadline = TimePoint::max();
  for (const Run& run : task.runs) {
    const auto executor = m_executors.find(run.executor);
    if (executor == m_executors.end()) return std::nullopt;
    const TimePoint requested_at = executor->second.report_requested_at;
    if (now - requested_at > kMaxReportAge) return std::nullopt;
    deadline = std::min(deadline, requested_at + kCopyValidity);
  }
  return deadline;
}

void PoolScheduler::CopyStragglers(Placer& placer, TimePoint now) {
  size_t running = 0;
  size_t copied = 0;
  std::vector<std::pair<Job*, TaskId>> stragglers;
  for (const auto& [executor_id, executor] : m_executors) {
    for (const RunRef& ref : executor.runs) {
      ++running;
      const Task* task = ref.job->is_final() ? nullptr : ref.job->FindTask(ref.task);
      if (!task) continue;
      if (task->runs.size() > 1) ++copied;
      if (IsStraggler(*ref.job, ref.task, *task, now)) stragglers.emplace_back(ref.job, ref.task);
    }
  }
  // Both runs of a copied task are counted.
  const auto limit =
      std::max<size_t>(1, static_cast<size_t>(kMaxCopiedShare * static_cast<double>(running)));
  const size_t room = limit > copied / 2 ? limit - copied / 2 : 0;
  if (stragglers.size() > room) stragglers.resize(room);
  for (const auto& [job, id] : stragglers) {
    Step& step = *FindStep(id);
    Task& task = step.tasks[static_cast<size_t>(id.index)];
    const StepPlacement placement{.spec = job->spec(id.step),
                                  .step = step,
                                  .ready_since = step.ready_since.value_or(now),
                                  .tickets = TicketsOf(*job, id),
                                  .decides_end = true};
    if (placement.tickets && !placement.tickets->HasValid(now)) continue;
    if (!m_budget.available()) return;
    if (!m_team_quotas.Allows(job->definition()->team, job->spec(id.step).request)) continue;
    const ExecutorId current = task.runs.front().executor;
    ExecutorState* slow = FindExecutor(current);
    if (!slow) continue;
    if (!CopyDeadline(task, now)) {
      slow->report_wanted = true;
      continue;
    }
    ExecutorState* executor = placer.Place(placement, current);
    if (!executor || executor->info.id == current) continue;
    if (m_durations->SlownessOf(executor->info) > 1) continue;
    const int64_t run = NextRun();
    const auto age = ToMilliseconds(now - slow->report_requested_at);
    Note("straggler_copied", id, run, executor->info.id,
         "report of " + current.str() + " requested " + std::to_string(age) + " ms ago");
    Start(*job, id, task, *executor, run, now);
  }
}

}  // namespace citronferry::scheduling
