#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_TABLE_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "decisions/dispatch/internal/executor_set.h"
#include "decisions/dispatch/internal/request_record.h"

namespace citronferry::dispatch {

/// All executors by identifier. One that leaves the list is kept until its last attempt has ended.
class ExecutorTable {
 public:
  /// Starts a new list. Update is then called for each executor of the list, and EndList last.
  void BeginList() { ++m_list_number; }
  /// @return whether the executor is new or has changed.
  bool Update(const ExecutorState& state, PoolState& pool, TimePoint now);
  /// Removes the executors that the list does not contain.
  void EndList();

  /// Frees a slot after an attempt, and removes the executor if it has left the list and is idle.
  /// @param urgent whether the request has urgent priority.
  /// @param counts_for_health whether the outcome is recorded in the health of the executor.
  /// @param success whether the attempt was answered.
  /// @return the pool in which the slot has become free, or null.
  PoolState* Release(Executor& executor, bool urgent, bool counts_for_health, bool success,
                     TimePoint now);

  /// @return the number of reliable executors on which the request may have run and failed.
  int CountFailedReliableExecutors(const RequestRecord& record) const;
  /// @return the number of attempts of the request that failed on reliable executors.
  int CountReliableAttempts(const RequestRecord& record) const;
  /// Retracts the failures that the request has caused from the health of the executors.
  void RetractFailures(const RequestRecord& record, TimePoint now);
  /// @return the usable executors of the pool on which the request has failed.
  std::vector<const Executor*> FindExecutorsToAvoid(const RequestRecord& record) const;

  /// @return the slots and their use for each executor.
  std::vector<ExecutorLoad> Read() const;

 private:
  bool IsReliable(const InstanceId& id) const;

  std::map<InstanceId, std::unique_ptr<Executor>> m_executors;
  uint64_t m_list_number = 0;  ///< Number of the latest list of executors.
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_TABLE_H_
