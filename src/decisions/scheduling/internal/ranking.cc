#include "decisions/scheduling/ranking.h"

#include <algorithm>
#include <vector>

namespace citronferry::scheduling {
namespace {

// Value of a job as the users state it: a fixed part and one that grows with its work against the
// mean of its queue, up to a bound.
constexpr double kFixedValue = 0.3;
constexpr double kValueOfMeanWork = 0.7;
constexpr double kMaxValue = 4;
// Beyond this many times the objective a job is worth nothing.
constexpr int kLateFactor = 3;
constexpr double kMinCoreSeconds = 1e-3;  // Keeps the ratio finite.

// Adds one occurrence; done_tasks(step) gives the finished tasks of a step.
template <typename DoneTasks>
void AddOccurrence(const JobDefinition& definition, const DurationModel& durations,
                   DoneTasks done_tasks, RemainingWork& work) {
  std::vector<Duration> finish(definition.steps.size());
  for (size_t i = 0; i < definition.steps.size(); ++i) {
    const StepSpec& step = definition.steps[i];
    const int open = step.replicas - done_tasks(i);
    const Duration duration = durations.Predict(definition.queue, step);
    Duration start{};
    for (const int before : step.after) start = std::max(start, finish[static_cast<size_t>(before)]);
    finish[i] = start + (open > 0 ? duration : Duration::zero());
    work.longest_chain = std::max(work.longest_chain, finish[i]);
    work.core_seconds +=
        open * static_cast<double>(step.request.cpu_millicores) / 1000 * ToSeconds(duration);
  }
}

}  // namespace

RemainingWork EstimateRemaining(const Job& job, const DurationModel& durations) {
  RemainingWork work;
  for (const auto& [number, occurrence] : job.occurrences()) {
    AddOccurrence(
        *job.definition(), durations,
        [&steps = occurrence.steps](size_t step) { return steps[step].done_tasks; }, work);
  }
  return work;
}

RemainingWork EstimateWhole(const JobDefinition& definition, const DurationModel& durations) {
  RemainingWork work;
  AddOccurrence(definition, durations, [](size_t) { return 0; }, work);
  return work;
}

void JobRanking::LearnJob(const JobDefinition& definition) {
  Mean& mean = m_job_work[definition.queue];
  mean.sum += EstimateWhole(definition, m_durations).core_seconds;
  mean.count += 1;
}

Duration JobRanking::Objective(const JobDefinition& definition, const QueuePolicy& queue) const {
  const Duration chain = EstimateWhole(definition, m_durations).longest_chain;
  return FromSeconds(ToSeconds(chain) * queue.latency_multiplier) + queue.target_latency;
}

Rank JobRanking::RankOf(const Job& job, const QueuePolicy& queue, TimePoint now) const {
  Rank rank{.lasting = job.lasting() ? 0 : 1, .priority = queue.priority};
  const RemainingWork left = EstimateRemaining(job, m_durations);
  const Duration objective = Objective(*job.definition(), queue);
  const TimePoint end = now + left.longest_chain;
  if (end > job.accepted_at() + objective * kLateFactor) {
    rank.timeliness = Timeliness::kLost;
  } else if (end > job.accepted_at() + objective) {
    rank.timeliness = Timeliness::kLate;
  }
  const double whole = EstimateWhole(*job.definition(), m_durations).core_seconds;
  const auto found = m_job_work.find(queue.name);
  const double mean = found == m_job_work.end() || found->second.count == 0
                          ? whole
                          : found->second.sum / found->second.count;
  const double value =
      std::min(kMaxValue, kFixedValue + kValueOfMeanWork * whole / std::max(mean, kMinCoreSeconds));
  rank.negative_value_per_core_second = -value / std::max(left.core_seconds, kMinCoreSeconds);
  return rank;
}

}  // namespace citronferry::scheduling
