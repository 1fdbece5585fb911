#include "decisions/scheduling/team_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronferry::scheduling {
namespace {

// Arrivals of a team that is within its rate vary; floods last for five to seven seconds.
constexpr double kBurstSeconds = 3;
// Long compared to tasks that take half a second, short compared to a flood.
constexpr Duration kDecayTime = 4s;
// Teams whose decayed use is below this are forgotten.
constexpr double kNegligibleUse = 1e-4;

}  // namespace

void TeamShares::SetWeights(std::map<TeamName, double> weights) {
  m_weights = std::move(weights);
  std::erase_if(m_buckets, [&](const auto& entry) { return !m_weights.contains(entry.first); });
  if (m_weights.empty()) m_uses.clear();
}

double TeamShares::WeightOf(const TeamName& team) const {
  const auto found = m_weights.find(team);
  return found == m_weights.end() || found->second <= 0 ? 1 : found->second;
}

bool TeamShares::OnArrival(const TeamName& team, TimePoint now) {
  if (!m_weights.contains(team)) return true;
  const double rate = WeightOf(team);
  // A team with a small weight may still send a single job.
  const double burst = std::max(1.0, rate * kBurstSeconds);
  const auto [entry, added] =
      m_buckets.try_emplace(team, Bucket{.tokens = burst, .filled_at = now});
  Bucket& bucket = entry->second;
  const double elapsed = std::max(0.0, ToSeconds(now - bucket.filled_at));
  bucket.tokens = std::min(burst, bucket.tokens + elapsed * rate);
  bucket.filled_at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

double TeamShares::DominantShare(const Resources& request) const {
  double share = 0;
  for (const auto dimension :
       {&Resources::cpu_millicores, &Resources::memory_mb, &Resources::gpus}) {
    if (m_capacity.*dimension <= 0) continue;
    share = std::max(share, static_cast<double>(request.*dimension) /
                                static_cast<double>(m_capacity.*dimension));
  }
  return share;
}

void TeamShares::UpdateUse(const std::map<TeamName, Resources>& used, const Resources& capacity,
                           TimePoint now) {
  m_capacity = capacity;
  const double kept = std::exp(-ToSeconds(now - m_updated_at) / ToSeconds(kDecayTime));
  m_updated_at = now;
  for (const auto& [team, resources] : used) m_uses[team];
  for (auto& [team, use] : m_uses) {
    use.decayed = use.decayed * kept + use.present * (1 - kept);
    const auto found = used.find(team);
    use.present = found == used.end() ? 0 : DominantShare(found->second);
  }
  std::erase_if(m_uses, [](const auto& entry) {
    return entry.second.present <= 0 && entry.second.decayed < kNegligibleUse;
  });
}

double TeamShares::UseOf(const TeamName& team) const {
  const auto found = m_uses.find(team);
  return found == m_uses.end() ? 0 : std::max(found->second.present, found->second.decayed);
}

}  // namespace citronferry::scheduling
