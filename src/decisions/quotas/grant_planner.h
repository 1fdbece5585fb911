#ifndef CITRONFERRY_DECISIONS_QUOTAS_GRANT_PLANNER_H_
#define CITRONFERRY_DECISIONS_QUOTAS_GRANT_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "decisions/quotas/types.h"

namespace citronferry::quotas {

/// Rows of all pools that a write is conditioned on.
struct GrantSnapshot {
  /// Version of the row that is rewritten whenever a pool's first row is added; 0 if there is none.
  /// Without it, a write could not be conditioned on rows that its writer does not know of.
  int64_t members_version = 0;
  std::map<PoolName, StoredGrants> pools;
};

/// A row to write, on condition that no row of the snapshot has changed.
struct GrantWrite {
  GrantRow row;
  bool adds_member = false;  ///< The pool has no row yet: the members row is rewritten too.
};

/// Decides for the owner of a pool which grants it writes and how much each team may use in the
/// pool. The sum of the grants of all pools never exceeds a quota, except while a quota has been
/// lowered below what is in use.
///
/// Load pattern: a queue requests five times its mean within a tenth of a second. The owner holds a
/// reserve beyond its use, so that the first starts need no write, and one write covers all others.
class GrantPlanner {
 public:
  /// @param epoch of the owner; rows with a higher one are of a successor.
  GrantPlanner(PoolName pool, int64_t epoch) : m_pool(std::move(pool)), m_epoch(epoch) {}

  /// Replaces the quotas by those of the configuration in force.
  void SetQuotas(std::map<TeamName, Resources> quotas);
  const std::map<TeamName, Resources>& quotas() const { return m_quotas; }
  /// Replaces the snapshot by a complete one. It may be older than the known one, in which case
  /// rows keep their newer versions.
  void SetSnapshot(const GrantSnapshot& snapshot);
  /// Processes a row that was read, or returned by a conflict.
  void ObserveRow(const PoolName& pool, const StoredGrants& stored);
  void ObserveMembers(int64_t version);
  const GrantSnapshot& snapshot() const { return m_snapshot; }

  /// Records what the teams use and wait for.
  void SetNeeds(std::map<TeamName, TeamNeed> needs, TimePoint now);
  /// @return the write to send now, or nothing. The next one follows after OnWritten or
  ///   OnWriteFailed.
  std::optional<GrantWrite> PlanWrite(TimePoint now);
  /// @param version of the rows that were written.
  void OnWritten(int64_t version);
  /// @param conflict the store refused the write because the snapshot was outdated.
  /// @param may_apply the write may have been applied, or be applied later.
  void OnWriteFailed(bool conflict, bool may_apply, TimePoint now);

  /// @return how much a team may use in this pool in total, including what it uses; nothing if the
  ///   team has no quota.
  std::optional<Resources> LimitOf(const TeamName& team) const;
  /// @return what a team is granted here, as far as it is certain.
  Resources GrantOf(const TeamName& team) const;
  /// @return whether this owner's row has replaced that of its predecessor, whose later writes then
  ///   fail. Until then no team with a quota may start anything.
  bool claimed() const;
  /// @return whether a successor has written the row.
  bool superseded() const { return m_superseded; }

 private:
  /// Highest use and need of a team within the last half second to second.
  struct Recent {
    Resources previous;
    Resources current;
    TimePoint since{};
  };

  const GrantRow* OwnRow() const;
  TeamNeed NeedOf(const TeamName& team) const;
  /// @return the highest need of the last second.
  Resources RecentNeed(const TeamName& team) const;
  /// @return the grants of the other pools together.
  Resources GrantedElsewhere(const TeamName& team) const;
  /// @return whether another pool needs more of the team's quota than it is granted.
  bool OthersWait(const TeamName& team) const;
  /// @return whether the grants of all pools together exceed the quota in a dimension.
  bool Exceeds(const TeamName& team, const Resources& quota) const;
  /// @return this pool's share of the quota by the claims of all pools.
  Resources ShareOf(const TeamName& team, const Resources& quota) const;
  TeamGrant NextGrant(const TeamName& team, const Resources& quota) const;
  int64_t NextInDimension(const TeamName& team, const Resources& quota,
                          int64_t Resources::*dimension) const;

  PoolName m_pool;
  int64_t m_epoch;
  std::map<TeamName, Resources> m_quotas;
  GrantSnapshot m_snapshot;
  bool m_has_snapshot = false;
  bool m_superseded = false;
  bool m_unreachable = false;  ///< The store did not answer the last write.
  std::map<TeamName, TeamNeed> m_needs;
  std::map<TeamName, Recent> m_recent;
  // Only what the stored row and all of these grant is certain.
  std::optional<GrantWrite> m_sent;     ///< Without a response so far.
  std::optional<GrantRow> m_uncertain;  ///< Lowest grants of writes whose response was lost.
  bool m_in_flight = false;
  TimePoint m_next_write_at{};
};

}  // namespace citronferry::quotas

#endif  // CITRONFERRY_DECISIONS_QUOTAS_GRANT_PLANNER_H_
