#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_TABLE_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "decisions/dispatch/internal/executor_set.h"
#include "decisions/dispatch/internal/request_record.h"

namespace citronferry::dispatch {

/// All executors by name. One that leaves the list is kept until its last attempt has ended.
class ExecutorTable {
 public:
  /// Starts a new list; Update is then called for each executor in it, and EndList at last.
  void BeginList() { ++m_list_number; }
  /// @return true when the executor is new or has changed.
  bool Update(const ExecutorState& state, PoolState& pool, TimePoint now);
  void EndList();

  /// Frees a slot after an attempt, and forgets the executor if it has left the list.
  /// @param judged true when the outcome says something about the executor.
  /// @return the pool in which a slot is free now, or null.
  PoolState* Release(Executor& executor, bool urgent, bool counts_for_health, bool success,
                     TimePoint now);

  /// @return executors on which a request may have run without success, although they are healthy.
  int CountFailedReliableExecutors(const RequestRecord& record) const;
  /// @return attempts of a request that were not spoiled by sick executors.
  int CountReliableAttempts(const RequestRecord& record) const;
  /// Takes back the failures of a request that is to blame for them.
  void RetractFailures(const RequestRecord& record, TimePoint now);
  /// @return the usable executors of the request's pool that have failed it.
  std::vector<const Executor*> FindExecutorsToAvoid(const RequestRecord& record) const;

  std::vector<ExecutorLoad> Read() const;

 private:
  bool IsReliable(const InstanceId& id) const;

  std::map<InstanceId, std::unique_ptr<Executor>> m_executors;
  uint64_t m_list_number = 0;  ///< Number of the latest list of executors.
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_TABLE_H_
