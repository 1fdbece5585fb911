#ifndef CITRONFERRY_DECISIONS_SCHEDULING_TEAM_SHARES_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_TEAM_SHARES_H_

#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Tracks the use and the arrivals of each team, for the order of jobs in a full pool.
///
/// Load pattern: a team sends seven times its usual load for some seconds. Its jobs within its rate
/// compete by use against weight, and the rest waits for capacity that no other team needs.
class TeamShares {
 public:
  /// @param weights share of a full pool, and jobs per second; empty if there are no teams.
  void SetWeights(std::map<TeamName, double> weights);
  /// @return whether the order of jobs depends on their teams.
  bool active() const { return !m_weights.empty(); }

  /// Counts a new job.
  /// @return whether its team is within its rate. Jobs without a team always are.
  bool OnArrival(const TeamName& team, TimePoint now);
  /// Records what the teams use at a time.
  /// @param capacity of the pool.
  void UpdateUse(const std::map<TeamName, Resources>& used, const Resources& capacity,
                 TimePoint now);
  /// @return the team's share of its dominant resource: the present one, or the decayed one of the
  ///   last seconds if that is higher. A team that returns from idleness thus has no credit.
  double UseOf(const TeamName& team) const;
  /// @return the dominant share of the pool that a request takes.
  double DominantShare(const Resources& request) const;
  /// @return the weight of a team; 1 for jobs without a team and teams that are not configured.
  double WeightOf(const TeamName& team) const;

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at{};
  };
  struct Use {
    double present = 0;
    double decayed = 0;
  };

  std::map<TeamName, double> m_weights;
  std::map<TeamName, Bucket> m_buckets;
  std::map<TeamName, Use> m_uses;
  Resources m_capacity;
  TimePoint m_updated_at{};
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TEAM_SHARES_H_
