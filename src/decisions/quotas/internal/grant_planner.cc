#include "decisions/quotas/grant_planner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "decisions/quotas/division.h"

namespace citronferry::quotas {
namespace {

// A task below half of a team's quota may wait 3 s. In that time the pool publishes its need, the
// others see it and return grants, and the pool takes them: three writes and two reads.
constexpr Duration kWriteInterval = 250ms;
// The rows that a conflict returns are current, so the next attempt need not wait as long.
constexpr Duration kConflictDelay = 50ms;
// Twice this time passes before a grant counts as idle.
constexpr Duration kRecentInterval = 500ms;
// Parts of a quota. The reserves of all pools together take a quarter of it at first.
constexpr int64_t kReservePart = 4;
// With more teams, idle ones have no reserve: a row has at most 64 KB.
constexpr size_t kMaxTeamsWithIdleReserve = 200;
// Smaller differences are not worth a write.
constexpr int64_t kNegligiblePart = 16;

Resources Highest(const Resources& a, const Resources& b) {
  Resources highest;
  for (const auto dimension : kDimensions) {
    highest.*dimension = std::max(a.*dimension, b.*dimension);
  }
  return highest;
}

Resources Lowest(const Resources& a, const Resources& b) {
  Resources lowest;
  for (const auto dimension : kDimensions) {
    lowest.*dimension = std::min(a.*dimension, b.*dimension);
  }
  return lowest;
}

Resources Total(const TeamNeed& need) {
  Resources total = need.used;
  return total += need.waiting;
}

Resources GrantIn(const GrantRow& row, const TeamName& team) {
  const auto found = row.teams.find(team);
  return found == row.teams.end() ? Resources() : found->second.granted;
}

// Whether the difference between two published needs matters to other pools.
bool DiffersMuch(const TeamNeed& a, const TeamNeed& b, const Resources& quota) {
  return std::any_of(kDimensions.begin(), kDimensions.end(), [&](auto dimension) {
    if (quota.*dimension <= 0) return false;
    const int64_t negligible = quota.*dimension / kNegligiblePart;
    return std::abs(a.used.*dimension - b.used.*dimension) > negligible ||
           std::abs(a.waiting.*dimension - b.waiting.*dimension) > negligible ||
           a.unit.*dimension != b.unit.*dimension;
  });
}

}  // namespace

void GrantPlanner::SetQuotas(std::map<TeamName, Resources> quotas) { m_quotas = std::move(quotas); }

void GrantPlanner::SetSnapshot(const GrantSnapshot& snapshot) {
  m_has_snapshot = true;
  for (const auto& [pool, stored] : snapshot.pools) ObserveRow(pool, stored);
  ObserveMembers(snapshot.members_version);
}

void GrantPlanner::ObserveRow(const PoolName& pool, const StoredGrants& stored) {
  StoredGrants& known = m_snapshot.pools[pool];
  if (stored.version <= known.version) return;
  known = stored;
  if (pool != m_pool) return;
  // Writes that were conditioned on an earlier version either are this row or can never be applied.
  m_uncertain.reset();
  m_sent.reset();
  m_superseded |= stored.row.epoch > m_epoch;
}

void GrantPlanner::ObserveMembers(int64_t version) {
  m_snapshot.members_version = std::max(m_snapshot.members_version, version);
}

void GrantPlanner::SetNeeds(std::map<TeamName, TeamNeed> needs, TimePoint now) {
  m_needs = std::move(needs);
  std::erase_if(m_recent, [&](const auto& entry) { return !m_quotas.contains(entry.first); });
  for (const auto& [team, quota] : m_quotas) {
    Recent& recent = m_recent[team];
    const Resources need = Total(NeedOf(team));
    if (now - recent.since >= kRecentInterval) {
      const bool outdated = now - recent.since >= 2 * kRecentInterval;
      recent.previous = outdated ? Resources() : recent.current;
      recent.current = need;
      recent.since = now;
    }
    recent.current = Highest(recent.current, need);
  }
}

const GrantRow* GrantPlanner::OwnRow() const {
  const auto found = m_snapshot.pools.find(m_pool);
  return found == m_snapshot.pools.end() || found->second.version == 0 ? nullptr
                                                                       : &found->second.row;
}

bool GrantPlanner::claimed() const {
  const GrantRow* own = OwnRow();
  return own && own->epoch == m_epoch;
}

TeamNeed GrantPlanner::NeedOf(const TeamName& team) const {
  const auto found = m_needs.find(team);
  return found == m_needs.end() ? TeamNeed() : found->second;
}

Resources GrantPlanner::RecentNeed(const TeamName& team) const {
  const auto found = m_recent.find(team);
  const Resources need = Total(NeedOf(team));
  if (found == m_recent.end()) return need;
  return Highest(need, Highest(found->second.previous, found->second.current));
}

Resources GrantPlanner::GrantOf(const TeamName& team) const {
  const GrantRow* own = OwnRow();
  if (!own) return {};
  Resources granted = GrantIn(*own, team);
  if (m_uncertain) granted = Lowest(granted, GrantIn(*m_uncertain, team));
  if (m_sent) granted = Lowest(granted, GrantIn(m_sent->row, team));
  return granted;
}

Resources GrantPlanner::GrantedElsewhere(const TeamName& team) const {
  Resources sum;
  for (const auto& [pool, stored] : m_snapshot.pools) {
    if (pool != m_pool) sum += GrantIn(stored.row, team);
  }
  return sum;
}

bool GrantPlanner::OthersWait(const TeamName& team) const {
  return std::any_of(m_snapshot.pools.begin(), m_snapshot.pools.end(), [&](const auto& entry) {
    const auto found = entry.second.row.teams.find(team);
    return entry.first != m_pool && found != entry.second.row.teams.end() && found->second.is_short;
  });
}

bool GrantPlanner::Exceeds(const TeamName& team, const Resources& quota) const {
  Resources sum = GrantedElsewhere(team);
  sum += Highest(GrantOf(team), NeedOf(team).used);
  return std::any_of(kDimensions.begin(), kDimensions.end(), [&](auto dimension) {
    return quota.*dimension > 0 && sum.*dimension > quota.*dimension;
  });
}

Resources GrantPlanner::ShareOf(const TeamName& team, const Resources& quota) const {
  // The own need is known exactly. A pool that is not short claims its grant.
  std::vector<Claim> claims{{.pool = m_pool, .need = NeedOf(team)}};
  for (const auto& [pool, stored] : m_snapshot.pools) {
    const auto found = stored.row.teams.find(team);
    if (pool == m_pool || found == stored.row.teams.end()) continue;
    const TeamGrant& grant = found->second;
    claims.push_back(
        {.pool = pool, .need = grant.is_short ? grant.need : TeamNeed{.used = grant.granted}});
  }
  return Divide(quota, claims).front();
}

int64_t GrantPlanner::NextInDimension(const TeamName& team, const Resources& quota,
                                      int64_t Resources::*dimension) const {
  if (quota.*dimension <= 0) return 0;
  const int64_t used = NeedOf(team).used.*dimension;
  const int64_t granted = GrantOf(team).*dimension;
  const int64_t elsewhere = GrantedElsewhere(team).*dimension;
  // The quota was lowered, or set while runs existed: everything that is not in use is returned.
  if (elsewhere + std::max(granted, used) > quota.*dimension) return used;
  const int64_t available = quota.*dimension - elsewhere;
  const int64_t recent = RecentNeed(team).*dimension;
  if (OthersWait(team)) {
    return std::min(available, std::max(used, std::min(recent, ShareOf(team, quota).*dimension)));
  }
  const auto pools = static_cast<int64_t>(std::max<size_t>(1, m_snapshot.pools.size()));
  const bool has_reserve = recent > 0 || m_quotas.size() <= kMaxTeamsWithIdleReserve;
  const int64_t reserve =
      has_reserve ? std::max(recent / 2, quota.*dimension / (kReservePart * pools)) : 0;
  const int64_t need = Total(NeedOf(team)).*dimension;
  const bool runs_short = need + reserve / 2 > granted;
  const bool idle = granted - recent - reserve > quota.*dimension / kNegligiblePart;
  if (!runs_short && !idle) return std::max(granted, used);
  return std::min(available, std::max(used, recent + reserve));
}

TeamGrant GrantPlanner::NextGrant(const TeamName& team, const Resources& quota) const {
  TeamGrant next;
  const TeamNeed need = NeedOf(team);
  for (const auto dimension : kDimensions) {
    next.granted.*dimension = NextInDimension(team, quota, dimension);
    next.is_short |= quota.*dimension > 0 && Total(need).*dimension > next.granted.*dimension;
  }
  if (next.is_short) next.need = need;
  return next;
}

std::optional<GrantWrite> GrantPlanner::PlanWrite(TimePoint now) {
  if (!m_has_snapshot || m_in_flight || m_superseded || now < m_next_write_at) return std::nullopt;
  const GrantRow* own = OwnRow();
  GrantWrite write{.row = {.epoch = m_epoch}, .adds_member = own == nullptr};
  bool changed = !claimed() || m_uncertain.has_value();
  for (const auto& [team, quota] : m_quotas) {
    TeamGrant next = NextGrant(team, quota);
    const auto known =
        own ? own->teams.find(team) : std::map<TeamName, TeamGrant>::const_iterator();
    if (!own || known == own->teams.end()) {
      changed |= next != TeamGrant();
    } else if (next.granted == known->second.granted && next.is_short == known->second.is_short &&
               !DiffersMuch(next.need, known->second.need, quota)) {
      next = known->second;
    } else {
      changed = true;
    }
    if (next != TeamGrant()) write.row.teams.emplace(team, next);
  }
  if (!changed) return std::nullopt;
  m_in_flight = true;
  m_next_write_at = now + kWriteInterval;
  m_sent = write;
  return write;
}

void GrantPlanner::OnWritten(int64_t version) {
  m_in_flight = false;
  m_unreachable = false;
  if (!m_sent) return;  // A later row has been observed.
  if (m_sent->adds_member) ObserveMembers(version);
  ObserveRow(m_pool, {.version = version, .row = m_sent->row});
}

void GrantPlanner::OnWriteFailed(bool conflict, bool may_apply, TimePoint now) {
  m_in_flight = false;
  m_unreachable = !conflict;
  if (conflict) m_next_write_at = now + kConflictDelay;
  const std::optional<GrantWrite> sent = std::exchange(m_sent, std::nullopt);
  if (!sent || !may_apply) return;
  if (!m_uncertain) {
    m_uncertain = sent->row;
    return;
  }
  // Either of the writes without a response may still be applied.
  for (auto& [team, grant] : m_uncertain->teams) {
    grant.granted = Lowest(grant.granted, GrantIn(sent->row, team));
  }
}

std::optional<Resources> GrantPlanner::LimitOf(const TeamName& team) const {
  const auto found = m_quotas.find(team);
  if (found == m_quotas.end()) return std::nullopt;
  const Resources& quota = found->second;
  if (!claimed() || m_superseded || Exceeds(team, quota)) return Resources();
  Resources limit = GrantOf(team);
  // While the store cannot be reached, what is not used here cannot be granted elsewhere.
  if (OthersWait(team) && !m_unreachable) limit = Lowest(limit, ShareOf(team, quota));
  for (const auto dimension : kDimensions) {
    if (quota.*dimension <= 0) limit.*dimension = kNoLimit;
  }
  return limit;
}

}  // namespace citronferry::quotas
