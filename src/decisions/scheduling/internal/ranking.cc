#include "decisions/scheduling/ranking.h"

#include <algorithm>
#include <vector>

namespace citronferry::scheduling {
namespace {

// Margin as a share of the objective: ends are reported with a delay and estimates are rough.
constexpr double kTimelinessMargin = 0.1;
// Multiple of the objective after which a job has no value left.
constexpr int kLateFactor = 3;

// Estimates are off by a tenth, so a chain that is shorter by less may be the longest one.
constexpr double kDecisiveChainShare = 0.9;

// Predicted durations change by only a few percent in this time.
constexpr Duration kMaxEstimateAge = 100ms;

// Longest chain of the steps of an occurrence.
class Chain {
 public:
  explicit Chain(const JobDefinition& definition) : m_definition(definition) {
    Finish().assign(definition.steps.size(), Duration::zero());
  }

  // Adds a step that takes some time once the steps before it are done.
  // @return the time until its end.
  Duration Add(size_t step, Duration duration) {
    Duration start{};
    for (const int before : m_definition.steps[step].after) {
      start = std::max(start, Finish()[static_cast<size_t>(before)]);
    }
    return Finish()[step] = start + duration;
  }

 private:
  // Ends of the steps. The storage is kept, since hundreds of jobs are estimated in each plan.
  static std::vector<Duration>& Finish() {
    thread_local std::vector<Duration> finish;
    return finish;
  }

  const JobDefinition& m_definition;
};

// Adds the work that is left of the tasks of a step.
// @return the time until the last of them ends.
Duration AddTasks(const Step& step, const StepSpec& spec, const runtimes::Prediction& prediction,
                  double timeliness_share, TimePoint now, double& core_seconds) {
  const int open = spec.replicas - step.done_tasks;
  if (open <= 0) return Duration::zero();
  // Each task is covered with this share, not all of them together: the objective of a job does not
  // grow with the width of its steps, so wide jobs would be taken for late too early.
  const double cores = Cores(spec.request);
  Duration longest{};
  int begun = 0;
  for (const Task& task : step.tasks) {
    if (task.done || task.runs.empty()) continue;
    ++begun;
    const Duration elapsed = std::max(now - task.runs.front().ordered_at, Duration::zero());
    longest = std::max(longest, prediction.QuantileRemaining(timeliness_share, elapsed));
    core_seconds += cores * ToSeconds(prediction.MeanRemaining(elapsed));
  }
  if (begun == open) return longest;
  core_seconds += (open - begun) * cores * ToSeconds(prediction.Mean());
  return std::max(longest, prediction.Quantile(timeliness_share));
}

}  // namespace

RemainingWork EstimateRemaining(const Job& job, const DurationModel& durations,
                                double timeliness_share, TimePoint now) {
  RemainingWork work;
  const JobDefinition& definition = *job.definition();
  for (const auto& [number, occurrence] : job.occurrences()) {
    Chain chain(definition);
    for (size_t i = 0; i < definition.steps.size(); ++i) {
      const StepSpec& spec = definition.steps[i];
      const Duration left =
          AddTasks(occurrence.steps[i], spec, durations.Predict(definition.queue, spec),
                   timeliness_share, now, work.core_seconds);
      work.longest_chain = std::max(work.longest_chain, chain.Add(i, left));
    }
  }
  return work;
}

RemainingWork EstimateWhole(const JobDefinition& definition, const DurationModel& durations) {
  RemainingWork work;
  Chain chain(definition);
  for (size_t i = 0; i < definition.steps.size(); ++i) {
    const StepSpec& spec = definition.steps[i];
    const Duration duration = durations.Predict(definition.queue, spec).Mean();
    work.longest_chain = std::max(work.longest_chain, chain.Add(i, duration));
    work.core_seconds += spec.replicas * Cores(spec.request) * ToSeconds(duration);
  }
  return work;
}

bool DecidesEnd(const JobDefinition& definition, const Occurrence& occurrence, int step,
                const DurationModel& durations) {
  if (definition.steps.size() == 1) return true;
  // Steps follow only earlier ones, so the chains are known from the last step on.
  std::vector<Duration> chains(definition.steps.size());
  Duration longest{};
  for (size_t i = definition.steps.size(); i-- > 0;) {
    const StepSpec& spec = definition.steps[i];
    if (occurrence.steps[i].done_tasks < spec.replicas) {
      chains[i] += durations.Predict(definition.queue, spec).Mean();
    }
    longest = std::max(longest, chains[i]);
    for (const int before : spec.after) {
      Duration& chain = chains[static_cast<size_t>(before)];
      chain = std::max(chain, chains[i]);
    }
  }
  return chains[static_cast<size_t>(step)] >= FromSeconds(ToSeconds(longest) * kDecisiveChainShare);
}

Duration JobRanking::Objective(const JobDefinition& definition, const QueuePolicy& queue) const {
  const Duration chain = EstimateWhole(definition, m_durations).longest_chain;
  return FromSeconds(ToSeconds(chain) * queue.latency_multiplier) + queue.target_latency;
}

const JobEstimate& JobRanking::EstimateOf(Job& job, const QueuePolicy& queue, TimePoint now) const {
  if (!job.estimate || now - job.estimate->made_at >= kMaxEstimateAge) {
    job.estimate = {.left = EstimateRemaining(job, m_durations, m_timeliness_share, now),
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
