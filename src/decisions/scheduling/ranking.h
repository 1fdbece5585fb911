#ifndef CITRONFERRY_DECISIONS_SCHEDULING_RANKING_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_RANKING_H_

#include <tuple>

#include "base/time.h"
#include "decisions/scheduling/duration_model.h"
#include "decisions/scheduling/job.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Share of the possible run times of each task that lie within the time that is assumed when it is
/// judged whether a job can be in time. It does not rise with the number of tasks: jobs with wide
/// steps, whose objective is no longer, would be taken for late too early.
inline constexpr double kTimelinessShare = 0.5;

/// @param timeliness_share the share of cases that the longest chain covers for each task.
/// @return the remaining work in the open occurrences of a job.
RemainingWork EstimateRemaining(const Job& job, const DurationModel& durations,
                                double timeliness_share, TimePoint now);

/// @return whether the end of an occurrence depends on a step of it that is ready: with its
///   expected run time and those of the steps that follow it, it is on a chain that takes at least
///   nine tenths of the longest one.
bool DecidesEnd(const JobDefinition& definition, const Occurrence& occurrence, int step,
                const DurationModel& durations);

/// @return the expected work of one complete occurrence of a job.
RemainingWork EstimateWhole(const JobDefinition& definition, const DurationModel& durations);

/// Whether a job can still meet its latency objective.
enum class Timeliness {
  kInTime,     ///< It can finish within its objective.
  kLate,       ///< It can only finish late, at a fraction of its value.
  kWorthless,  ///< It finishes so late that it has no value left.
};

/// Sort key of jobs when the capacity does not suffice for all; lower ranks are placed first.
///
/// Load pattern: a surge of several times the pool's capacity for some seconds, then a trough.
/// First come, first served makes nearly every job of the surge late. Instead, jobs that can still
/// finish in time go first: those that have started, so that they complete, then those with the
/// least remaining work, which maximises the number of jobs in time. Late jobs follow and run in
/// the trough, ordered by the time until they lose all value.
struct Rank {
  int not_long_running = 1;  ///< 0 for long-running tasks, which have to run at all times.
  int priority = 0;
  Timeliness timeliness = Timeliness::kInTime;
  int not_started = 1;    ///< 0 if tasks have been started.
  int beyond_rate = 0;    ///< 1 for waiting jobs of teams that exceed their rate; see TeamShares.
  double team_share = 0;  ///< Use of a waiting job's team against its weight; see TeamShares.
  double order = 0;  ///< Core-seconds left if in time, otherwise seconds until all value is lost.
  double tie_breaker = 0;

  friend bool operator<(const Rank& left, const Rank& right) {
    return std::tie(left.not_long_running, left.priority, left.timeliness, left.not_started,
                    left.beyond_rate, left.team_share, left.order, left.tie_breaker) <
           std::tie(right.not_long_running, right.priority, right.timeliness, right.not_started,
                    right.beyond_rate, right.team_share, right.order, right.tie_breaker);
  }
};

/// Computes the ranks of a pool's jobs.
class JobRanking {
 public:
  explicit JobRanking(const DurationModel& durations, double timeliness_share = kTimelinessShare)
      : m_durations(durations), m_timeliness_share(timeliness_share) {}

  /// @param job its cached estimate is updated if it is missing or outdated.
  /// @param queue the policy of the job's queue.
  /// @param now when the tasks would start.
  Rank RankOf(Job& job, const QueuePolicy& queue, TimePoint now) const;
  /// @return the longest time from acceptance to completion with which a job is in time.
  Duration Objective(const JobDefinition& definition, const QueuePolicy& queue) const;

 private:
  const JobEstimate& EstimateOf(Job& job, const QueuePolicy& queue, TimePoint now) const;

  const DurationModel& m_durations;
  double m_timeliness_share;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_RANKING_H_
