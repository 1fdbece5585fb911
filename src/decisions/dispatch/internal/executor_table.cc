#include "decisions/dispatch/internal/executor_table.h"

#include <algorithm>

#include "decisions/dispatch/internal/state.h"

namespace citronferry::dispatch {

bool ExecutorTable::Update(const ExecutorState& state, PoolState& pool, TimePoint now) {
  auto& item = m_executors[state.id];
  if (!item) item = std::make_unique<Executor>(Executor{.id = state.id});
  Executor& executor = *item;
  executor.list_number = m_list_number;
  const bool moved = executor.pool != &pool;
  // The list is sent again on every change of the fleet, and most executors stay the same.
  if (!moved && executor.slots == state.slots && executor.leaving == state.leaving) return false;
  if (moved && executor.pool) executor.pool->executors.Remove(executor);
  executor.slots = state.slots;
  executor.leaving = state.leaving;
  if (moved) {
    executor.pool = &pool;
    pool.executors.Add(executor, now);
  } else {
    pool.executors.Refresh(executor, now);
  }
  return true;
}

void ExecutorTable::EndList() {
  std::erase_if(m_executors, [this](const auto& item) {
    Executor& executor = *item.second;
    if (executor.list_number == m_list_number) return false;
    if (executor.pool) executor.pool->executors.Remove(executor);
    executor.pool = nullptr;
    return executor.in_use == 0;
  });
}

PoolState* ExecutorTable::Release(Executor& executor, bool urgent, bool counts_for_health,
                                  bool success, TimePoint now) {
  --executor.in_use;
  if (!urgent) --executor.non_urgent_in_use;
  PoolState* pool = executor.pool;
  if (!pool) {
    if (executor.in_use == 0) m_executors.erase(InstanceId(executor.id));
  } else if (counts_for_health) {
    pool->executors.RecordOutcome(executor, success, now);
  } else {
    pool->executors.Refresh(executor, now);
  }
  return pool;
}

int ExecutorTable::CountFailedReliableExecutors(const RequestRecord& record) const {
  return static_cast<int>(std::count_if(record.failed_executors.begin(),
                                        record.failed_executors.end(),
                                        [this](const FailedExecutor& failed) {
                                          return failed.may_have_run && IsReliable(failed.executor);
                                        }));
}

int ExecutorTable::CountReliableAttempts(const RequestRecord& record) const {
  int attempts = 0;
  for (const FailedExecutor& failed : record.failed_executors) {
    if (IsReliable(failed.executor)) attempts += failed.attempts;
  }
  return attempts;
}

void ExecutorTable::RetractFailures(const RequestRecord& record, TimePoint now) {
  for (const FailedExecutor& failed : record.failed_executors) {
    const auto item = m_executors.find(failed.executor);
    if (item == m_executors.end()) continue;
    Executor& executor = *item->second;
    executor.health.RetractFailure();
    if (executor.pool) executor.pool->executors.Refresh(executor, now);
  }
}

std::vector<const Executor*> ExecutorTable::FindExecutorsToAvoid(
    const RequestRecord& record) const {
  std::vector<const Executor*> found;
  for (const FailedExecutor& failed : record.failed_executors) {
    const auto item = m_executors.find(failed.executor);
    if (item == m_executors.end()) continue;
    const Executor& executor = *item->second;
    if (executor.pool == record.pool && executor.contribution.limit > 0) found.push_back(&executor);
  }
  return found;
}

std::vector<ExecutorLoad> ExecutorTable::Read() const {
  std::vector<ExecutorLoad> loads;
  loads.reserve(m_executors.size());
  for (const auto& [id, executor] : m_executors) {
    loads.push_back({.id = id,
                     .slots = executor->pool ? executor->slots : 0,
                     .in_use = executor->in_use,
                     .ejected = executor->health.IsEjected()});
  }
  return loads;
}

bool ExecutorTable::IsReliable(const InstanceId& id) const {
  const auto item = m_executors.find(id);
  return item != m_executors.end() && item->second->health.IsReliable();
}

}  // namespace citronferry::dispatch
