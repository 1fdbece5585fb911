#include "decisions/dispatch/internal/executor_set.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace citronferry::dispatch {
namespace {

// Without idempotent work to probe with, other work has to do it after this time.
constexpr Duration kProbeOverdue = 10s;
// A failure rate of 1 weighs as much as a full executor.
constexpr int kRankScale = 64;

Executor* FirstOutside(const std::map<Executor::Rank, Executor*>& ranked,
                       std::span<const Executor* const> avoid) {
  for (const auto& [rank, executor] : ranked) {
    if (std::find(avoid.begin(), avoid.end(), executor) == avoid.end()) return executor;
  }
  return nullptr;
}

}  // namespace

void ExecutorSet::Add(Executor& executor, TimePoint now) {
  executor.last_used = ++m_uses;
  Refresh(executor, now);
}

void ExecutorSet::Remove(Executor& executor) { Withdraw(executor); }

void ExecutorSet::Refresh(Executor& executor, TimePoint now) {
  Withdraw(executor);
  Executor::Offer& offer = executor.offer;
  offer.present = executor.slots > 0 && !executor.leaving;
  if (!offer.present) return;
  const ExecutorHealth& health = executor.health;
  offer.limit = health.SlotLimit(executor.slots, now);
  offer.in_use_by_others = std::min(executor.in_use_by_others, offer.limit);
  offer.failing = health.IsFailing();
  offer.is_probe = health.IsProbeDue(now);
  if (executor.in_use < offer.limit) {
    const int load = executor.in_use * kRankScale / offer.limit;
    const int failures = static_cast<int>(health.Penalty() * kRankScale);
    offer.rank.emplace(load + failures, executor.last_used);
    (offer.is_probe ? m_probes : m_free).emplace(*offer.rank, &executor);
  }
  if (health.IsEjected()) {
    offer.ejected = true;
    m_ejected.emplace(executor.id, &executor);
    if (!offer.is_probe) {
      offer.paused_until = health.probe_at();
    }
  } else {
    offer.paused_until = health.penalty_until();
  }
  if (offer.paused_until) {
    m_pauses.emplace(std::pair(*offer.paused_until, executor.id), &executor);
  }
  ++m_present;
  m_capacity += offer.limit;
  m_usable += offer.limit > 0 ? 1 : 0;
  m_failing += offer.failing ? 1 : 0;
  m_in_use_by_others += offer.in_use_by_others;
}

void ExecutorSet::Occupy(Executor& executor, bool urgent, TimePoint now) {
  ++executor.in_use;
  if (!urgent) ++executor.in_use_by_others;
  executor.last_used = ++m_uses;
  Refresh(executor, now);
}

void ExecutorSet::Judge(Executor& executor, bool success, TimePoint now) {
  executor.health.Record(success, now);
  Refresh(executor, now);
  if (success || !executor.offer.failing) return;
  // When most of a pool fails, the cause lies elsewhere, and the rest could not carry the load.
  if (m_failing * 2 > m_present) {
    executor.health.Reinstate(now);
    Refresh(executor, now);
    ReinstateAll(now);
  } else if (!executor.health.IsEjected()) {
    executor.health.Eject(now);
    Refresh(executor, now);
  }
}

void ExecutorSet::ReleaseProbes(TimePoint now) {
  while (!m_pauses.empty() && m_pauses.begin()->first.first <= now) {
    Executor& executor = *m_pauses.begin()->second;
    executor.health.EndPenaltyIfDue(now);
    Refresh(executor, now);
  }
}

bool ExecutorSet::HasFree(bool urgent) const {
  if (m_free.empty() && m_probes.empty()) return false;
  return urgent || m_in_use_by_others < SharedCapacity();
}

Executor* ExecutorSet::Choose(const ExecutorDemand& demand, TimePoint now) const {
  Executor* probe = FirstOutside(m_probes, demand.avoid);
  if (probe && demand.may_probe && !demand.urgent) return probe;
  if (Executor* executor = FirstOutside(m_free, demand.avoid)) return executor;
  const bool overdue = probe && probe->health.probe_at() + kProbeOverdue <= now;
  if (probe && (demand.may_probe || overdue)) return probe;
  const bool has_alternative = m_usable > static_cast<int>(demand.avoid.size());
  return has_alternative || m_free.empty() ? nullptr : m_free.begin()->second;
}

int ExecutorSet::SharedCapacity() const {
  if (m_capacity == 0) return 0;
  // The reserve is rounded up, but leaves one slot for other work.
  constexpr double kRounding = 1e-9;
  const auto reserved = static_cast<int>(std::ceil(m_reserve * m_capacity - kRounding));
  return std::max(1, m_capacity - reserved);
}

void ExecutorSet::Withdraw(Executor& executor) {
  Executor::Offer& offer = executor.offer;
  if (offer.rank) (offer.is_probe ? m_probes : m_free).erase(*offer.rank);
  if (offer.ejected) m_ejected.erase(executor.id);
  if (offer.paused_until) m_pauses.erase({*offer.paused_until, executor.id});
  m_present -= offer.present ? 1 : 0;
  m_capacity -= offer.limit;
  m_usable -= offer.limit > 0 ? 1 : 0;
  m_failing -= offer.failing ? 1 : 0;
  m_in_use_by_others -= offer.in_use_by_others;
  offer = {};
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
