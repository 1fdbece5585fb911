#ifndef CITRONFERRY_DECISIONS_SCHEDULING_RANKING_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_RANKING_H_

#include <tuple>

#include "base/time.h"
#include "decisions/scheduling/duration_model.h"
#include "decisions/scheduling/job.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// @return the work that is left, in the open occurrences.
RemainingWork EstimateRemaining(const Job& job, const DurationModel& durations);

/// @return the work of a job from its beginning.
RemainingWork EstimateWhole(const JobDefinition& definition, const DurationModel& durations);

/// Whether a job can still earn something.
enum class Timeliness {
  kInTime,     ///< It can end within its objective.
  kLate,       ///< It can only end late, which is worth a fraction.
  kWorthless,  ///< It ends so late that it is worth nothing.
};

/// Order in which jobs get capacity when it does not suffice for all.
///
/// Load pattern: a surge of several times the pool's capacity for some seconds, then a trough.
/// First come, first served makes nearly every job of the surge late. Instead, jobs that can still
/// be in time go first: those that have begun, so that they end, then those with the least work
/// left, of which most can be served. Late jobs follow and are done in the trough, those first that
/// would be lost first.
struct Rank {
  int long_running = 1;  ///< 0 for tasks that last: they are owed at any time.
  int priority = 0;
  Timeliness timeliness = Timeliness::kInTime;
  int begun = 1;  ///< 0 if tasks have been started.
  double order = 0;
  double tie = 0;

  friend bool operator<(const Rank& left, const Rank& right) {
    return std::tie(left.long_running, left.priority, left.timeliness, left.begun, left.order,
                    left.tie) < std::tie(right.long_running, right.priority, right.timeliness,
                                         right.begun, right.order, right.tie);
  }
};

/// Ranks the jobs of a pool.
class JobRanking {
 public:
  explicit JobRanking(const DurationModel& durations) : m_durations(durations) {}

  /// @param job its estimate is renewed if it is missing or old.
  /// @param now when the tasks would start.
  Rank RankOf(Job& job, const QueuePolicy& queue, TimePoint now) const;
  /// @return the longest time from acceptance to the end with which a job is in time.
  Duration Objective(const JobDefinition& definition, const QueuePolicy& queue) const;

 private:
  const JobEstimate& EstimateOf(Job& job, const QueuePolicy& queue, TimePoint now) const;

  const DurationModel& m_durations;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_RANKING_H_
