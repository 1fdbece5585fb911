#include "decisions/dispatch/internal/executor_set.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace citronferry::dispatch {
namespace {

// Without idempotent requests to probe with, a probe may be overdue. After this time a
// non-idempotent request is used if no other executor is free.
constexpr Duration kProbeOverdueTime = 10s;
// Rank of a fully loaded executor; a failure rate of 1 weighs as much.
constexpr int kRankScale = 64;

Executor* FindFirstNotIn(const std::map<Executor::Rank, Executor*>& ranked,
                         std::span<const Executor* const> avoid) {
  for (const auto& [rank, executor] : ranked) {
    if (std::find(avoid.begin(), avoid.end(), executor) == avoid.end()) return executor;
  }
  return nullptr;
}

}  // namespace

void ExecutorSet::Add(Executor& executor, TimePoint now) {
  executor.last_used = ++m_use_count;
  Refresh(executor, now);
}

void ExecutorSet::Remove(Executor& executor) { RemoveContribution(executor); }

void ExecutorSet::Refresh(Executor& executor, TimePoint now) {
  RemoveContribution(executor);
  Executor::Contribution& contribution = executor.contribution;
  contribution.present = executor.slots > 0 && !executor.leaving;
  if (!contribution.present) return;
  const ExecutorHealth& health = executor.health;
  contribution.limit = health.SlotLimit(executor.slots, now);
  contribution.non_urgent_in_use = std::min(executor.non_urgent_in_use, contribution.limit);
  contribution.failing = health.IsFailing();
  contribution.is_probe = health.IsProbeDue(now);
  if (executor.in_use < contribution.limit) {
    const int load = executor.in_use * kRankScale / contribution.limit;
    const int failures = static_cast<int>(health.Penalty() * kRankScale);
    contribution.rank.emplace(load + failures, executor.last_used);
    (contribution.is_probe ? m_probes : m_free).emplace(*contribution.rank, &executor);
  }
  if (health.IsEjected()) {
    contribution.ejected = true;
    m_ejected.emplace(executor.id, &executor);
    if (!contribution.is_probe) {
      contribution.paused_until = health.probe_at();
    }
  } else {
    contribution.paused_until = health.penalty_until();
  }
  if (contribution.paused_until) {
    m_pauses.emplace(std::pair(*contribution.paused_until, executor.id), &executor);
  }
  ++m_present_executors;
  m_capacity += contribution.limit;
  m_usable_executors += contribution.limit > 0 ? 1 : 0;
  m_failing_executors += contribution.failing ? 1 : 0;
  m_non_urgent_in_use += contribution.non_urgent_in_use;
}

void ExecutorSet::Occupy(Executor& executor, bool urgent, TimePoint now) {
  ++executor.in_use;
  if (!urgent) ++executor.non_urgent_in_use;
  executor.last_used = ++m_use_count;
  Refresh(executor, now);
}

void ExecutorSet::RecordOutcome(Executor& executor, bool success, TimePoint now) {
  executor.health.Record(success, now);
  Refresh(executor, now);
  if (success || !executor.contribution.failing) return;
  // When most executors of a pool fail, the cause lies elsewhere, and the remaining ones could not
  // carry the load.
  if (m_failing_executors * 2 > m_present_executors) {
    executor.health.Reinstate(now);
    Refresh(executor, now);
    ReinstateAll(now);
  } else if (!executor.health.IsEjected()) {
    executor.health.Eject(now);
    Refresh(executor, now);
  }
}

void ExecutorSet::ProcessDuePauses(TimePoint now) {
  while (!m_pauses.empty() && m_pauses.begin()->first.first <= now) {
    Executor& executor = *m_pauses.begin()->second;
    executor.health.EndPenaltyIfDue(now);
    Refresh(executor, now);
  }
}

bool ExecutorSet::HasFree(bool urgent) const {
  if (m_free.empty() && m_probes.empty()) return false;
  return urgent || m_non_urgent_in_use < SharedCapacity();
}

Executor* ExecutorSet::Choose(const ExecutorDemand& demand, TimePoint now) const {
  Executor* probe = FindFirstNotIn(m_probes, demand.avoid);
  if (probe && demand.may_probe && !demand.urgent) return probe;
  if (Executor* executor = FindFirstNotIn(m_free, demand.avoid)) return executor;
  const bool overdue = probe && probe->health.probe_at() + kProbeOverdueTime <= now;
  if (probe && (demand.may_probe || overdue)) return probe;
  const bool has_alternative = m_usable_executors > static_cast<int>(demand.avoid.size());
  return has_alternative || m_free.empty() ? nullptr : m_free.begin()->second;
}

int ExecutorSet::SharedCapacity() const {
  if (m_capacity == 0) return 0;
  // The reserve is rounded up, but at least one slot remains for non-urgent requests.
  constexpr double kRounding = 1e-9;
  const auto reserved = static_cast<int>(std::ceil(m_reserve * m_capacity - kRounding));
  return std::max(1, m_capacity - reserved);
}

void ExecutorSet::RemoveContribution(Executor& executor) {
  Executor::Contribution& contribution = executor.contribution;
  if (contribution.rank) (contribution.is_probe ? m_probes : m_free).erase(*contribution.rank);
  if (contribution.ejected) m_ejected.erase(executor.id);
  if (contribution.paused_until) m_pauses.erase({*contribution.paused_until, executor.id});
  m_present_executors -= contribution.present ? 1 : 0;
  m_capacity -= contribution.limit;
  m_usable_executors -= contribution.limit > 0 ? 1 : 0;
  m_failing_executors -= contribution.failing ? 1 : 0;
  m_non_urgent_in_use -= contribution.non_urgent_in_use;
  contribution = {};
}

void ExecutorSet::ReinstateAll(TimePoint now) {
  std::vector<Executor*> ejected;
  for (const auto& [key, executor] : m_ejected) ejected.push_back(executor);
  for (Executor* executor : ejected) {
    executor->health.Reinstate(now);
    Refresh(*executor, now);
  }
}

}  // namespace citronferry::dispatch
