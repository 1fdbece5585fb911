#include "decisions/scheduling/executor_state.h"

#include <algorithm>

#include "decisions/scheduling/job.h"

namespace citronferry::scheduling {
namespace {

// Consecutive failures, of at least two jobs: a job that cannot succeed fails on every executor.
constexpr int kFailuresToQuarantine = 3;
// The first quarantine outlasts most short faults; repeated ones are longer.
constexpr Duration kQuarantine = 2s;
constexpr int kMaxQuarantineDoublings = 2;
// A run without progress is stopped within this time, and what goes on for longer, such as a
// long-running task, must not keep the executor from being used.
constexpr Duration kMaxTrial = 5s;

}  // namespace

void ExecutorHealth::RecordDone() {
  m_failures = 0;
  m_several_jobs = false;
  m_last_failed_job = JobId();
  m_quarantines = 0;
}

void ExecutorHealth::RecordReady(TimePoint ordered_at) {
  if (ordered_at >= m_quarantined_until) RecordDone();
}

void ExecutorHealth::RecordFailure(const JobId& job, bool executor_suspected, TimePoint now) {
  if (!executor_suspected) return;
  ++m_failures;
  m_several_jobs |= !m_last_failed_job.empty() && m_last_failed_job != job;
  m_last_failed_job = job;
  const bool established = m_failures >= kFailuresToQuarantine && m_several_jobs;
  // During probation a single failure is enough, since the executor has failed before.
  if (established || on_probation()) Quarantine(now);
}

void ExecutorHealth::Quarantine(TimePoint now) {
  // Tasks that were ordered before this quarantine show no more than the first of them.
  if (quarantined(now)) return;
  const int doublings = std::min(m_quarantines, kMaxQuarantineDoublings);
  m_quarantined_until = now + kQuarantine * (1 << doublings);
  ++m_quarantines;
  m_failures = 0;
  m_several_jobs = false;
}

int ExecutorState::long_running_tasks() const {
  return static_cast<int>(std::count_if(runs.begin(), runs.end(), [](const RunRef& ref) {
    return ref.job->spec(ref.task.step).long_running;
  }));
}

bool ExecutorState::Usable(TimePoint now) const {
  if (!listed || !link_durable || !reported || !responding) return false;
  if (info.leaving || cordoned) return false;
  if (awaits_token || answered_fences < required_fences) return false;
  if (health.quarantined(now) || now < no_capacity_until) return false;
  if (start_window.paused(now)) return false;
  if (!health.on_probation()) return true;
  // During probation, one task at a time.
  return std::none_of(runs.begin(), runs.end(),
                      [&](const RunRef& ref) { return IsOnTrial(ref, now); });
}

bool ExecutorState::IsOnTrial(const RunRef& ref, TimePoint now) const {
  const Task* task = ref.job->FindTask(ref.task);
  if (!task) return false;
  return std::any_of(task->runs.begin(), task->runs.end(), [&](const Run& run) {
    if (run.id != ref.run || run.executor != info.id) return false;
    const bool ready = ref.job->spec(ref.task.step).long_running && run.percent >= kReadyPercent;
    return !ready && now - run.ordered_at < kMaxTrial;
  });
}

std::string DescribeEnds(const ExecutorState& executor) {
  return "ends applied to " + std::to_string(executor.applied_end) + ", durable to " +
         std::to_string(executor.durable_end);
}

}  // namespace citronferry::scheduling
