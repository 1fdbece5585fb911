#include "decisions/dispatch/internal/executor_table.h"

#include <algorithm>

#include "decisions/dispatch/internal/state.h"

namespace citronferry::dispatch {

bool ExecutorTable::Update(const ExecutorState& state, PoolState& pool, TimePoint now) {
  auto& item = m_executors[state.id];
  if (!item) item = std::make_unique<Executor>(Executor{.id = state.id});
  Executor& executor = *item;
  executor.list = m_list;
  const bool moved = executor.pool != &pool;
  // The list is read again whenever anything around the fleet changes; most of it stays the same.
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
    if (executor.list == m_list) return false;
    if (executor.pool) executor.pool->executors.Remove(executor);
    executor.pool = nullptr;
    return executor.in_use == 0;
  });
}

PoolState* ExecutorTable::Release(Executor& executor, bool urgent, bool judged, bool success,
                                  TimePoint now) {
  --executor.in_use;
  if (!urgent) --executor.in_use_by_others;
  PoolState* pool = executor.pool;
  if (!pool) {
    if (executor.in_use == 0) m_executors.erase(InstanceId(executor.id));
  } else if (judged) {
    pool->executors.Judge(executor, success, now);
  } else {
    pool->executors.Refresh(executor, now);
  }
  return pool;
}

int ExecutorTable::CountTrustedFailures(const RequestRecord& record) const {
  return static_cast<int>(std::count_if(record.failed_on.begin(), record.failed_on.end(),
                                        [this](const FailedOn& failed) {
                                          return failed.may_have_run && IsTrusted(failed.executor);
                                        }));
}

int ExecutorTable::CountAttempts(const RequestRecord& record) const {
  int attempts = 0;
  for (const FailedOn& failed : record.failed_on) {
    if (IsTrusted(failed.executor)) attempts += failed.attempts;
  }
  return attempts;
}

void ExecutorTable::Forgive(const RequestRecord& record, TimePoint now) {
  for (const FailedOn& failed : record.failed_on) {
    const auto item = m_executors.find(failed.executor);
    if (item == m_executors.end()) continue;
    Executor& executor = *item->second;
    executor.health.ForgiveFailure();
    if (executor.pool) executor.pool->executors.Refresh(executor, now);
  }
}

std::vector<const Executor*> ExecutorTable::FindFailed(const RequestRecord& record) const {
  std::vector<const Executor*> found;
  for (const FailedOn& failed : record.failed_on) {
    const auto item = m_executors.find(failed.executor);
    if (item == m_executors.end()) continue;
    const Executor& executor = *item->second;
    if (executor.pool == record.pool && executor.offer.limit > 0) found.push_back(&executor);
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

bool ExecutorTable::IsTrusted(const InstanceId& id) const {
  const auto item = m_executors.find(id);
  return item != m_executors.end() && item->second->health.IsTrusted();
}

}  // namespace citronferry::dispatch
