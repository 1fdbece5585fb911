#include "fleet/pool/internal/grant_coordinator.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::Resources;

// Tasks that exceed a grant wait for this time and a transaction.
constexpr Duration kLoopInterval = 50ms;
// Five owners may write a row every quarter of a second each; their changes are read together.
constexpr Duration kFollowPause = 100ms;
constexpr Duration kFollowWait = 700ms;
// How soon a configuration with the first quota takes effect.
constexpr Duration kIdleInterval = 200ms;
constexpr Duration kWriteTimeout = 1s;
// The store takes rows of up to 64 KB.
constexpr size_t kMaxGrantRowBytes = 60'000;

}  // namespace

GrantCoordinator::GrantCoordinator(PoolOwner& owner)
    : m_owner(owner),
      m_context(owner.context()),
      m_planner(owner.pool(), owner.epoch()),
      m_feed(MakeTableFeed(owner.context().platform.rows, kQuotasTable, {kQuotasTable},
                           kFollowWait)) {}

void GrantCoordinator::ApplyConfiguration() {
  std::map<TeamName, Resources> quotas;
  for (const Team& team : m_context.configuration.Get().teams) {
    if (team.quota != Resources()) quotas.emplace(team.name, team.quota);
  }
  m_planner.SetQuotas(std::move(quotas));
  UpdateLimits();
}

void GrantCoordinator::ApplyRows(std::span<const Row> rows) {
  for (const Row& row : rows) {
    const std::optional<PoolName> pool = GrantsPool(row.key.key);
    if (!pool || row.version == 0) continue;
    quotas::StoredGrants stored{.version = row.version};
    auto decoded = DecodeGrants(row.value);
    if (decoded.ok()) {
      stored.row = std::move(decoded).value();
    } else {
      Log(LogLevel::kError, "grants_unreadable",
          {{"pool", row.key.key}, {"error", decoded.ret().message()}});
      // The owner of that pool replaces the row. Until then it may use all of each quota.
      if (*pool != m_owner.pool()) {
        for (const auto& [team, quota] : m_planner.quotas()) {
          stored.row.teams[team].granted = quota;
        }
      }
    }
    m_planner.ObserveRow(*pool, stored);
  }
}

QCoro::Task<void> GrantCoordinator::Follow() {
  while (!m_owner.ended().requested()) {
    if (m_planner.quotas().empty()) {
      m_feed.Restart();
      co_await SleepFor(m_context.timers, kIdleInterval, &m_owner.ended());
      continue;
    }
    const auto changes = co_await m_feed.Next();
    if (m_owner.ended().requested()) co_return;
    if (changes.ok()) {
      ApplyRows(changes->changed);
      // Only the feed returns the rows of new pools together with the members row. A conflict does
      // not, so a write conditioned on the version that it returns would miss these rows.
      for (const Row& row : changes->changed) {
        if (row.key == GrantMembersKey()) m_planner.ObserveMembers(row.version);
      }
      if (m_feed.is_snapshot()) m_planner.SetSnapshot({});
      UpdateLimits();
    }
    const Duration pause = changes.ok() ? kFollowPause : m_feed.retry_delay();
    co_await SleepFor(m_context.timers, pause, &m_owner.ended());
  }
}

void GrantCoordinator::UpdateNeeds() {
  std::map<TeamName, quotas::TeamNeed> needs;
  for (const auto& [team, use] : m_owner.scheduler().TeamUses()) {
    if (!m_planner.quotas().contains(team)) continue;
    quotas::TeamNeed need{.used = use.used, .waiting = use.waiting, .unit = use.unit};
    // Unknown runs of a previous owner are within the grant that the pool has had.
    const Resources granted = m_planner.GrantOf(team);
    for (const auto dimension : quotas::kDimensions) {
      const int64_t possible = use.used.*dimension + use.unresolved.*dimension;
      need.used.*dimension = std::max(use.used.*dimension, std::min(granted.*dimension, possible));
    }
    needs.emplace(team, need);
  }
  m_planner.SetNeeds(std::move(needs), m_context.timers.Now());
}

void GrantCoordinator::UpdateLimits() {
  std::map<TeamName, scheduling::TeamLimit> limits;
  for (const auto& [team, quota] : m_planner.quotas()) {
    limits.emplace(team, scheduling::TeamLimit{
                             .limit = m_planner.LimitOf(team).value_or(Resources()),
                             .quota = quota,
                             .configuration_version = m_context.configuration.Get().version});
  }
  m_owner.scheduler().SetTeamLimits(std::move(limits));
}

QCoro::Task<void> GrantCoordinator::Write(quotas::GrantWrite write) {
  const RowKey own_key = GrantsKey(m_owner.pool());
  const quotas::GrantSnapshot& snapshot = m_planner.snapshot();
  Transaction transaction;
  transaction.conditions.push_back({.key = GrantMembersKey(), .version = snapshot.members_version});
  if (!snapshot.pools.contains(m_owner.pool())) transaction.conditions.push_back({.key = own_key});
  for (const auto& [pool, stored] : snapshot.pools) {
    transaction.conditions.push_back({.key = GrantsKey(pool), .version = stored.version});
  }
  std::string value = EncodeGrants(write.row);
  if (value.size() > kMaxGrantRowBytes) {
    Log(LogLevel::kError, "grants_too_large",
        {{"pool", m_owner.pool().view()}, {"bytes", value.size()}});
    m_planner.OnWriteFailed(false, false, m_context.timers.Now());
    co_return;
  }
  transaction.puts.push_back({.key = own_key, .value = std::move(value)});
  if (write.adds_member) transaction.puts.push_back({.key = GrantMembersKey(), .value = "{}"});
  const auto short_teams = std::count_if(write.row.teams.begin(), write.row.teams.end(),
                                         [](const auto& entry) { return entry.second.is_short; });
  const TimePoint sent_at = m_context.timers.Now();
  const TransactionResult result =
      co_await m_context.platform.rows.Transact(std::move(transaction), kWriteTimeout);
  const TimePoint now = m_context.timers.Now();
  switch (result.outcome) {
    case TransactionOutcome::kApplied:
      m_planner.OnWritten(result.version);
      break;
    case TransactionOutcome::kConflict: {
      ApplyRows(result.rows);
      m_planner.OnWriteFailed(true, false, now);
      break;
    }
    case TransactionOutcome::kRefused:
    case TransactionOutcome::kInvalid:
    case TransactionOutcome::kUnknown:
      m_planner.OnWriteFailed(false, result.outcome == TransactionOutcome::kUnknown, now);
      break;
  }
  Log(LogLevel::kInfo, "grants_written",
      {{"pool", m_owner.pool().view()},
       {"epoch", m_owner.epoch()},
       {"outcome", static_cast<int>(result.outcome)},
       {"version", result.version},
       {"teams", write.row.teams.size()},
       {"short_teams", short_teams},
       {"took_ms", ToMilliseconds(now - sent_at)},
       {"configuration", m_context.configuration.Get().version}});
}

QCoro::Task<void> GrantCoordinator::Run() {
  StopSignal& ended = m_owner.ended();
  while (!ended.requested()) {
    const bool idle = m_planner.quotas().empty();
    co_await SleepFor(m_context.timers, idle ? kIdleInterval : kLoopInterval, &ended);
    if (ended.requested()) co_return;
    if (m_planner.quotas().empty()) continue;
    UpdateNeeds();
    UpdateLimits();
    m_owner.ProcessUpdates();
    if (!m_owner.may_order()) continue;
    auto write = m_planner.PlanWrite(m_context.timers.Now());
    if (!write) continue;
    UpdateLimits();  // A grant that is being returned is not used any more.
    quotas::GrantWrite sent = std::move(*write);
    co_await Write(std::move(sent));
    if (ended.requested()) co_return;
    UpdateLimits();
    m_owner.ProcessUpdates();
  }
}

void GrantCoordinator::UpdateGauges() {
  const auto uses = m_owner.scheduler().TeamUses();
  for (const Team& team : m_context.configuration.Get().teams) {
    const prometheus::Labels labels{{"pool", m_owner.pool().str()}, {"team", team.name.str()}};
    const auto set = [&](std::string_view name, std::string_view help, double value) {
      m_context.metrics.Gauge(name, help, labels).Set(value);
    };
    const auto use = uses.find(team.name);
    const scheduling::TeamUse current = use == uses.end() ? scheduling::TeamUse() : use->second;
    set("citronferry_fleet_team_running_cores", "Cores of a team's runs in an owned pool.",
        scheduling::Cores(current.used));
    set("citronferry_fleet_team_waiting_cores", "Cores that wait only for the team's quota.",
        scheduling::Cores(current.waiting));
    set("citronferry_fleet_team_granted_cores", "Cores of the quota granted to the pool.",
        scheduling::Cores(m_planner.GrantOf(team.name)));
    set("citronferry_fleet_team_quota_cores", "Quota of the team in all pools; 0: no limit.",
        scheduling::Cores(team.quota));
    set("citronferry_fleet_team_share", "Share of the team in its dominant resource of the pool.",
        m_owner.scheduler().team_shares().UseOf(team.name));
  }
}

}  // namespace citronferry::fleet
