#include "decisions/scheduling/ranking.h"

#include <algorithm>
#include <vector>

namespace citronferry::scheduling {
namespace {

// Margin as a share of the objective: ends are reported with a delay and estimates are rough.
constexpr double kTimelinessMargin = 0.1;
// Multiple of the objective after which a job has no value left.
constexpr int kLateFactor = 3;

// Predicted durations change by only a few percent in this time.
constexpr Duration kMaxEstimateAge = 100ms;

// Adds the remaining work of one occurrence; done_tasks(step) returns the number of done tasks.
template <typename DoneTasks>
void AddOccurrence(const JobDefinition& definition, const DurationModel& durations,
                   DoneTasks done_tasks, RemainingWork& work) {
  std::vector<Duration> finish(definition.steps.size());
  for (size_t i = 0; i < definition.steps.size(); ++i) {
    const StepSpec& step = definition.steps[i];
    const int open = step.replicas - done_tasks(i);
    const Duration duration = durations.Predict(definition.queue, step);
    Duration start{};
    for (const int before : step.after)
      start = std::max(start, finish[static_cast<size_t>(before)]);
    finish[i] = start + (open > 0 ? duration : Duration::zero());
    work.longest_chain = std::max(work.longest_chain, finish[i]);
    work.core_seconds += open * Cores(step.request) * ToSeconds(duration);
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
  AddOccurrence(
      definition, durations, [](size_t) { return 0; }, work);
  return work;
}

Duration JobRanking::Objective(const JobDefinition& definition, const QueuePolicy& queue) const {
  const Duration chain = EstimateWhole(definition, m_durations).longest_chain;
  return FromSeconds(ToSeconds(chain) * queue.latency_multiplier) + queue.target_latency;
}

const JobEstimate& JobRanking::EstimateOf(Job& job, const QueuePolicy& queue, TimePoint now) const {
  if (!job.estimate || now - job.estimate->made_at >= kMaxEstimateAge) {
    job.estimate = {.left = EstimateRemaining(job, m_durations),
                    .objective = Objective(*job.definition(), queue),
                    .made_at = now};
  }
  return *job.estimate;
}

Rank JobRanking::RankOf(Job& job, const QueuePolicy& queue, TimePoint now) const {
  Rank rank{.not_long_running = job.long_running() ? 0 : 1,
            .priority = queue.priority,
            .not_started = job.state() == JobState::kQueued ? 1 : 0};
  const auto& [left, objective, made_at] = EstimateOf(job, queue, now);
  const TimePoint end = now + left.longest_chain;
  const Duration slack = job.accepted_at() + objective - end;
  const Duration late_slack = job.accepted_at() + objective * kLateFactor - end;
  if (slack >= FromSeconds(ToSeconds(objective) * kTimelinessMargin)) {
    rank.order = left.core_seconds;
    rank.tie_breaker = -ToSeconds(slack);
  } else if (late_slack >= Duration::zero()) {
    rank.timeliness = Timeliness::kLate;
    rank.order = ToSeconds(late_slack);
  } else {
    rank.timeliness = Timeliness::kWorthless;
    rank.order = ToSeconds(late_slack);
  }
  return rank;
}

}  // namespace citronferry::scheduling
