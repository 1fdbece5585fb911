// PoolScheduler: empties executors of long-running tasks, for maintenance or because they leave.
#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {
namespace {

using StepKey = std::tuple<JobId, int, int>;  // Job, occurrence, step.

StepKey KeyOf(const TaskId& task) { return {task.job, task.occurrence, task.step}; }

}  // namespace

/// Room for long-running tasks on some executors, once the other tasks there have ended. Places
/// that are found are taken, so that they are not found again.
class PoolScheduler::LongRunningRoom {
 public:
  LongRunningRoom(std::vector<Candidate> candidates, TimePoint now)
      : m_candidates(std::move(candidates)), m_placer(m_candidates, now) {}

  /// Takes a place for a task in place of its runs.
  /// @param tickets StepPlacement::tickets of its step.
  /// @return whether there is one.
  bool Take(const Job& job, const TaskId& id, const StepTickets* tickets) {
    const auto known = m_steps.find(KeyOf(id));
    Step& step = known != m_steps.end() ? known->second
                                        : m_steps.emplace(KeyOf(id), StepOf(job, id)).first->second;
    Task& task = step.tasks[static_cast<size_t>(id.index)];
    task.runs.clear();
    const ExecutorState* executor =
        m_placer.TakeWhenDrained({.spec = job.spec(id.step), .step = step, .tickets = tickets});
    if (executor) task.runs.push_back({.executor = executor->info.id});
    return executor != nullptr;
  }

 private:
  static const Step& StepOf(const Job& job, const TaskId& id) {
    return job.occurrences().at(id.occurrence).steps[static_cast<size_t>(id.step)];
  }

  std::vector<Candidate> m_candidates;
  Placer m_placer;
  std::map<StepKey, Step> m_steps;  // With the places that were taken.
};

bool PoolScheduler::IsRoomFor(const ExecutorState& executor, const Job& job,
                              const TaskId& id) const {
  const StepSpec& spec = job.spec(id.step);
  return HasRequiredLabel(executor.info, spec) &&
         Fits(CountedRequest(spec), executor.info.capacity - LongRunningUse(executor));
}

DrainPlan PoolScheduler::PlanDrain(const ExecutorId& id, TimePoint now) {
  DrainPlan plan;
  const ExecutorState* executor = FindExecutor(id);
  if (!executor) return plan;
  std::vector<Candidate> others = MakeCandidates(now);
  std::erase_if(others, [&](const Candidate& other) { return other.executor == executor; });
  LongRunningRoom room(std::move(others), now);
  for (const TaskId& waiting : m_waiting_long_running) {
    Job* job = FindJobMutable(waiting.job);
    const Task* task = job && !job->is_final() ? job->FindTask(waiting) : nullptr;
    if (!task || !task->runs.empty()) continue;
    const bool has_place = room.Take(*job, waiting, TicketsOf(*job, waiting));
    if (!has_place && IsRoomFor(*executor, *job, waiting)) plan.feasible = false;
  }
  std::map<StepKey, int> paused;  // Number of tasks.
  for (const RunRef& ref : executor->runs) {
    if (!ref.job->spec(ref.task.step).long_running || ref.job->is_final()) continue;
    const Run* run = FindRun(ref.task, ref.run, id);
    const bool has_place = room.Take(*ref.job, ref.task, TicketsOf(*ref.job, ref.task));
    if (!run || run->phase == RunPhase::kStopping) continue;
    const StopOrder stop{.executor = id, .task = ref.task, .run = ref.run};
    if (has_place) {
      plan.moves.push_back(stop);
      continue;
    }
    plan.pauses.push_back(stop);
    if (!WithinDisruptionBudget(ref, paused[KeyOf(ref.task)]++)) plan.feasible = false;
  }
  return plan;
}

std::vector<StopOrder> PoolScheduler::EvictionsWithinBudget(const ExecutorId& id) const {
  std::vector<StopOrder> stops;
  const auto found = m_executors.find(id);
  if (found == m_executors.end()) return stops;
  std::map<StepKey, int> stopped_now;  // Number of tasks.
  for (const RunRef& ref : found->second.runs) {
    if (!ref.job->spec(ref.task.step).long_running) continue;
    const Task& task = *ref.job->FindTask(ref.task);
    int& stopped = stopped_now[KeyOf(ref.task)];
    const bool stopping = std::any_of(task.runs.begin(), task.runs.end(), [](const Run& run) {
      return run.phase == RunPhase::kStopping;
    });
    if (stopping || !WithinDisruptionBudget(ref, stopped)) continue;
    stops.push_back({.executor = id, .task = ref.task, .run = ref.run});
    ++stopped;
  }
  return stops;
}

void PoolScheduler::EvictLongRunningTasks(const ExecutorId& id, TimePoint now) {
  const DrainPlan plan = PlanDrain(id, now);
  std::set<std::pair<TaskId, int64_t>> movable;
  for (const StopOrder& move : plan.moves) movable.emplace(move.task, move.run);
  for (const StopOrder& stop : EvictionsWithinBudget(id)) {
    if (movable.contains({stop.task, stop.run})) StopRun(stop, now);
  }
}

}  // namespace citronferry::scheduling
