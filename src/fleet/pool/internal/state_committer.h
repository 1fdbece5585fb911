#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_STATE_COMMITTER_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_STATE_COMMITTER_H_

#include <functional>
#include <optional>

#include "decisions/scheduling/pool_scheduler.h"
#include "fleet/fleet_context.h"
#include "fleet/tables.h"
#include "supervision/awaitables.h"

namespace citronferry::fleet {

/// Makes the scheduler's state durable, one transaction after the other. Each transaction replaces
/// the owner row, so that it also renews the ownership and fails once another entry has the pool.
class StateCommitter {
 public:
  /// @param on_committed runs after each commit.
  StateCommitter(FleetContext& context, PoolName pool, int64_t epoch, TimePoint acquired_at,
                 scheduling::PoolScheduler& scheduler, std::function<void()> on_committed);

  /// Commits what is dirty, and renews when nothing is, until the pool is lost or a stop.
  /// @return why the pool was lost, or success after a stop.
  QCoro::Task<Ret> Run(StopSignal& stop);
  /// Tells that something is dirty.
  void Wake() { m_wake.Push(0); }
  /// Commits what is left and gives the pool up.
  QCoro::Task<void> ReleaseOwnership();

  /// @return until when the ownership can be trusted.
  TimePoint valid_until() const { return m_valid_until; }
  /// @return the version of the newest commit, which rises across all owners.
  int64_t newest_version() const { return m_version; }

 private:
  /// @return success, or why the pool was lost.
  QCoro::Task<Ret> CommitOnce(const scheduling::CommitBatch& batch, bool release, StopSignal* stop);
  Transaction MakeTransaction(const scheduling::CommitBatch& batch, bool release) const;

  FleetContext& m_context;
  PoolName m_pool;
  scheduling::PoolScheduler& m_scheduler;
  std::function<void()> m_on_committed;
  int64_t m_version;  // Of the owner row.
  int64_t m_commit = 0;
  TimePoint m_valid_until;
  Mailbox<int> m_wake;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_STATE_COMMITTER_H_
