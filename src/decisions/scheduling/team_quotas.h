#ifndef CITRONFERRY_DECISIONS_SCHEDULING_TEAM_QUOTAS_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_TEAM_QUOTAS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ids.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// How much a team may use in a pool, and why.
struct TeamLimit {
  Resources limit;  ///< Of what the team uses in the pool in total.
  Resources quota;  ///< Of the team in all pools; 0 in a dimension: no limit.
  int64_t configuration_version = 0;

  friend bool operator==(const TeamLimit&, const TeamLimit&) = default;
};

/// What a team uses and waits for in a pool.
struct TeamUse {
  Resources used;        ///< By runs that are known and may exist.
  Resources unresolved;  ///< Capacity on which unknown runs of the team may exist.
  Resources waiting;     ///< Requested by tasks that fit, but are held back by the team's limit.
  Resources unit;        ///< Smallest request that is held back: of a task or a whole gang.
};

/// Account of what each team uses in a pool, and its limits.
class TeamQuotas {
 public:
  /// @return whether a limit changed.
  bool SetLimits(std::map<TeamName, TeamLimit> limits);
  bool has_limits() const { return !m_limits.empty(); }

  void Charge(const TeamName& team, const Resources& request);
  void Refund(const TeamName& team, const Resources& request);

  /// Starts a planning round.
  /// @param unresolved capacity on which runs of any team may exist that are not known yet.
  void BeginRound(const Resources& unresolved);
  /// @return whether a team may start tasks that request this in total.
  bool Allows(const TeamName& team, const Resources& request) const;
  /// Records that a task, or a gang, is held back.
  /// @param best_effort it needs no free CPU.
  void HoldBack(const TeamName& team, const Resources& request, bool best_effort);
  /// Ends a planning round.
  /// @param free capacity that is left in the pool. More than that is not waited for.
  void EndRound(const Resources& free);

  /// @return whether to report that a job is held back: once for each job and configuration.
  bool ShouldReport(const JobId& job, const TeamName& team);
  /// Forgets that a job was held back.
  void ForgetJob(const JobId& job) { m_reported.erase(job); }
  /// @return why a request is not allowed.
  std::string Explain(const TeamName& team, const Resources& request) const;

  /// @param unresolved as for BeginRound.
  /// @return use and need of the teams that have a limit, use or need.
  std::map<TeamName, TeamUse> Uses(const Resources& unresolved) const;
  /// @return what known runs of each team use.
  const std::map<TeamName, Resources>& used() const { return m_used; }
  /// @return what known runs of a team use.
  Resources UsedBy(const TeamName& team) const;

 private:
  std::map<TeamName, TeamLimit> m_limits;
  std::map<TeamName, Resources> m_used;     // Includes jobs without a team.
  std::map<TeamName, TeamUse> m_held_back;  // Their use is not set.
  std::map<TeamName, Resources> m_best_effort_held_back;
  Resources m_unresolved;
  std::map<JobId, int64_t> m_reported;  // Version of the configuration by job.
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TEAM_QUOTAS_H_
