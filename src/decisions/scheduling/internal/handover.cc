#include "decisions/scheduling/handover.h"

#include <algorithm>
#include <tuple>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {

std::optional<EntryId> ChooseSuccessor(std::span<const SuccessorCandidate> candidates) {
  const auto preference = [](const SuccessorCandidate& candidate) {
    return std::tuple(-candidate.owned_pools, candidate.announced_version);
  };
  const SuccessorCandidate* best = nullptr;
  for (const SuccessorCandidate& candidate : candidates) {
    if (candidate.capacity.cores < kMinOwnerCores) continue;
    if (!best || preference(candidate) > preference(*best)) best = &candidate;
  }
  if (!best) return std::nullopt;
  return best->entry;
}

PoolHandover PoolScheduler::MakeHandover(TimePoint now) const {
  PoolHandover handover;
  for (const auto& [id, executor] : m_executors) {
    const bool unresolved = executor.inherited && !executor.reported;
    if (executor.runs.empty() && !unresolved) continue;
    HandedOverExecutor record{.executor = id,
                              .incarnation_unix_ms = executor.info.incarnation_unix_ms,
                              .lease_left = std::max(Duration::zero(), executor.lease_bound - now),
                              .unresolved = unresolved};
    for (const RunRef& ref : executor.runs) {
      HandedOverRun run{.task = ref.task, .run = ref.run};
      if (const Run* state = FindRun(ref.task, ref.run, id)) {
        run.confirmed = state->phase != RunPhase::kOrdered;
        run.listed = state->listed;
        // The response to an order in flight does not reach this owner any more.
        run.copy_outstanding = state->copy_outstanding || state->phase == RunPhase::kOrdered;
      }
      record.runs.push_back(std::move(run));
    }
    handover.executors.push_back(std::move(record));
  }
  return handover;
}

void PoolScheduler::InheritHandover(const PoolHandover& handover) {
  const TimePoint now = m_options.taken_over_at;
  for (auto& [id, executor] : m_executors) executor.inherited = false;
  for (const HandedOverExecutor& record : handover.executors) {
    ExecutorState* executor = FindExecutor(record.executor);
    // Without its link the executor cannot be called; its runs end with their lease.
    if (!executor) executor = &m_executors[record.executor];
    executor->info.id = record.executor;
    executor->info.incarnation_unix_ms =
        std::max(executor->info.incarnation_unix_ms, record.incarnation_unix_ms);
    executor->lease_bound = now + std::min(record.lease_left, m_options.late_call_window +
                                                                  m_options.longest_lease_bound);
    executor->taken_over = true;
    executor->inherited = record.unresolved;
    for (const HandedOverRun& run : record.runs) RestoreRun(*executor, run);
  }
}

void PoolScheduler::RestoreRun(ExecutorState& executor, const HandedOverRun& run) {
  Job* job = FindJobMutable(run.task.job);
  if (!job) return;  // The executor's report shows it, and it is stopped.
  if (!job->is_final()) job->OpenOccurrence(run.task.occurrence);
  Task* task = job->FindTask(run.task);
  if (!task) return;
  const TimePoint now = m_options.taken_over_at;
  Run restored{.id = run.run,
               .executor = executor.info.id,
               .phase = run.confirmed ? RunPhase::kRunning : RunPhase::kOrdered,
               .ordered_at = now,
               .copy_outstanding = run.copy_outstanding,
               .fence = 0,  // The token of each owner is higher than those of its predecessors.
               .listed = run.listed,
               .percent_changed_at = now,
               .adopted = true};
  // A report that was requested later shows whether the run exists. The previous owner's stop of a
  // run that is not needed may have been lost, and the job may have been cancelled since, so it is
  // stopped until the executor confirms it.
  if (job->is_final() || task->done) {
    restored.phase = RunPhase::kStopping;
  } else if (run.confirmed) {
    restored.confirmed_at = now;
  }
  task->runs.push_back(std::move(restored));
  executor.runs.push_back({.job = job, .task = run.task, .run = run.run});
  Charge(executor, *job, run.task.step);
  if (!job->is_final()) job->MarkStarted();
}

}  // namespace citronferry::scheduling
