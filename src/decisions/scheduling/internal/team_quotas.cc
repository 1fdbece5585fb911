#include "decisions/scheduling/team_quotas.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace citronferry::scheduling {
namespace {

struct Dimension {
  std::string_view name;
  int64_t Resources::*amount;
};

constexpr std::array kDimensions{Dimension{"cpu_millicores", &Resources::cpu_millicores},
                                 Dimension{"memory_mb", &Resources::memory_mb},
                                 Dimension{"gpus", &Resources::gpus}};

// The highest part of a quota that a request takes in a dimension.
double DominantShare(const Resources& request, const Resources& quota) {
  double share = 0;
  for (const auto& [name, amount] : kDimensions) {
    if (quota.*amount <= 0) continue;
    share =
        std::max(share, static_cast<double>(request.*amount) / static_cast<double>(quota.*amount));
  }
  return share;
}

}  // namespace

bool TeamQuotas::SetLimits(std::map<TeamName, TeamLimit> limits) {
  if (limits == m_limits) return false;
  m_limits = std::move(limits);
  if (m_limits.empty()) BeginRound({});
  return true;
}

void TeamQuotas::Charge(const TeamName& team, const Resources& request) { m_used[team] += request; }

void TeamQuotas::Refund(const TeamName& team, const Resources& request) {
  const auto found = m_used.find(team);
  if (found == m_used.end()) return;
  found->second -= request;
  if (found->second == Resources()) m_used.erase(found);
}

void TeamQuotas::BeginRound(const Resources& unresolved) {
  m_unresolved = unresolved;
  m_held_back.clear();
  m_best_effort_held_back.clear();
}

bool TeamQuotas::Allows(const TeamName& team, const Resources& request) const {
  const auto found = m_limits.find(team);
  if (found == m_limits.end()) return true;
  Resources sum = UsedBy(team);
  sum += m_unresolved;
  sum += request;
  return Fits(sum, found->second.limit);
}

void TeamQuotas::HoldBack(const TeamName& team, const Resources& request, bool best_effort) {
  const auto limit = m_limits.find(team);
  if (limit == m_limits.end()) return;
  const Resources& quota = limit->second.quota;
  // A request beyond the whole quota can never start. Waiting for it would keep others from theirs.
  if (DominantShare(request, quota) > 1) return;
  TeamUse& use = m_held_back[team];
  (best_effort ? m_best_effort_held_back[team] : use.waiting) += request;
  const bool smaller = DominantShare(request, quota) < DominantShare(use.unit, quota);
  if (use.unit == Resources() || smaller) use.unit = request;
}

void TeamQuotas::EndRound(const Resources& free) {
  for (auto& [team, use] : m_held_back) {
    for (const auto& [name, amount] : kDimensions) {
      use.waiting.*amount = std::min(use.waiting.*amount, std::max<int64_t>(0, free.*amount));
    }
    const auto best_effort = m_best_effort_held_back.find(team);
    if (best_effort != m_best_effort_held_back.end()) use.waiting += best_effort->second;
    for (const auto& [name, amount] : kDimensions) {
      use.unit.*amount = std::min(use.unit.*amount, use.waiting.*amount);
    }
  }
}

bool TeamQuotas::ShouldReport(const JobId& job, const TeamName& team) {
  const auto limit = m_limits.find(team);
  if (limit == m_limits.end()) return false;
  const int64_t version = limit->second.configuration_version;
  const auto [reported, added] = m_reported.emplace(job, version);
  return added || std::exchange(reported->second, version) != version;
}

std::string TeamQuotas::Explain(const TeamName& team, const Resources& request) const {
  const auto found = m_limits.find(team);
  if (found == m_limits.end()) return {};
  const TeamLimit& limit = found->second;
  const Resources used = UsedBy(team);
  std::string text = "team " + team.str();
  for (const auto& [name, amount] : kDimensions) {
    if (used.*amount + m_unresolved.*amount + request.*amount <= limit.limit.*amount) continue;
    text += ", " + std::string(name) + " requested " + std::to_string(request.*amount) + " used " +
            std::to_string(used.*amount) + " unresolved " + std::to_string(m_unresolved.*amount) +
            " limit in pool " + std::to_string(limit.limit.*amount) + " quota " +
            std::to_string(limit.quota.*amount);
  }
  return text + ", configuration " + std::to_string(limit.configuration_version);
}

Resources TeamQuotas::UsedBy(const TeamName& team) const {
  const auto found = m_used.find(team);
  return found == m_used.end() ? Resources() : found->second;
}

std::map<TeamName, TeamUse> TeamQuotas::Uses(const Resources& unresolved) const {
  std::map<TeamName, TeamUse> uses = m_held_back;
  for (const auto& [team, used] : m_used) uses[team].used = used;
  for (const auto& [team, limit] : m_limits) uses[team].unresolved = unresolved;
  return uses;
}

}  // namespace citronferry::scheduling
