#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_STATE_COMMITTER_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_STATE_COMMITTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/scheduling/pool_scheduler.h"
#include "fleet/fleet_context.h"
#include "fleet/pool/internal/instance_directory.h"
#include "fleet/pool/internal/jobs_view.h"
#include "fleet/tables.h"
#include "supervision/awaitables.h"

namespace citronferry::fleet {

/// Commits the scheduler's state to the store, one transaction at a time. Each transaction also
/// replaces the owner row, on condition that its version is that of the last commit, so it renews
/// the lease of the owner, and fails once another entry owns the pool.
class StateCommitter {
 public:
  /// @param epoch version of the owner row that the bid wrote.
  /// @param acquired_at when the bid was sent.
  /// @param on_committed called after each commit.
  /// @param directory has the orders that the owner row names; nullptr if no order is given.
  StateCommitter(FleetContext& context, PoolName pool, int64_t epoch, TimePoint acquired_at,
                 scheduling::PoolScheduler& scheduler, std::function<void()> on_committed,
                 const InstanceDirectory* directory = nullptr);

  /// Commits dirty state, or just renews the lease when there is none, until the ownership is lost
  /// or a stop is requested.
  /// @return why the ownership was lost, or success after a stop.
  QCoro::Task<Ret> Run(StopSignal& stop);
  /// Lets the owner row say from now on that the state of the pool has been read.
  void SetLoaded() {
    m_loaded = true;
    m_stored_runs = m_scheduler.run_times().learned_runs();
    Wake();
  }
  /// @param rows number of further rows with the progress of jobs that earlier owners wrote.
  void SetFurtherRows(std::map<JobId, size_t> rows) { m_further_rows = std::move(rows); }
  /// Notifies the committer of dirty state.
  void Wake() { m_wake.Push(0); }
  /// Waits for the next commit that begins after this call.
  /// @return whether it is durable; false if the committer has ended.
  QCoro::Task<bool> CommitAgain();
  /// Commits the remaining dirty state and releases the ownership with the last commit.
  /// @param successor the entry that should bid first; empty for any.
  /// @param handover returns the rows of the handover, which the last commit writes; called once
  /// all
  ///   other state is committed or in that commit.
  QCoro::Task<void> ReleaseOwnership(EntryId successor,
                                     std::function<std::vector<std::string>()> handover);

  /// @return the end of the lease, after which another entry may own the pool.
  TimePoint valid_until() const { return m_valid_until; }
  /// @return how old the owner's view of the submitted jobs is, which each commit publishes.
  JobsView& jobs_view() { return m_jobs_view; }
  /// @return the version of the last commit; it increases across the owners of all pools.
  int64_t newest_version() const { return m_version; }

 private:
  /// A batch with the rows of its progress.
  struct EncodedBatch {
    scheduling::CommitBatch batch;
    std::vector<std::vector<std::string>> progress;  ///< Values of the rows of each job.
  };

  /// What the last commit of an owner writes besides the state of the pool.
  struct Release {
    EntryId successor;
    std::vector<std::string> handover;
  };

  /// A call of CommitAgain that has not returned.
  struct AwaitedCommit {
    int64_t number = 0;
    OneShot<bool> durable;
  };

  /// Commits until the ownership is lost or a stop is requested; see Run.
  QCoro::Task<Ret> CommitUntilStopped(StopSignal& stop);
  /// Ends the calls of CommitAgain that wait for the current commit or an earlier one.
  void ResumeAwaited(bool durable);
  /// Commits a batch. If the store rejects it, its rows are committed apart, and what the store
  /// takes in no transaction is left out.
  /// @param stop ends the repetitions.
  /// @return success, or why the ownership was lost.
  QCoro::Task<Ret> Commit(scheduling::CommitBatch batch, StopSignal* stop);
  /// Commits a batch, repeating the transaction while its outcome is unknown.
  /// @param release clears the holder in the owner row; nullptr to stay the owner.
  /// @param stop ends the repetitions.
  /// @return success, kInvalidArgument if the store rejects the transaction for good, or why the
  ///   ownership was lost.
  QCoro::Task<Ret> CommitOnce(const EncodedBatch& batch, const Release* release, StopSignal* stop);
  /// Encodes a batch. What does not fit into a transaction is returned to the scheduler.
  /// @param max_rows for the whole batch.
  EncodedBatch Encode(scheduling::CommitBatch batch, size_t max_rows);
  /// @return the number of rows that the progress of a job takes in a transaction, with those of
  ///   earlier commits that are removed.
  size_t RowsOf(const JobId& job, const std::vector<std::string>& values) const;
  /// Records that the rows of a batch are durable.
  void OnWritten(const EncodedBatch& batch);
  /// Leaves out the only row of a batch, which the store rejects.
  /// @param error for the log.
  void LeaveOut(scheduling::CommitBatch batch, std::string_view error);
  /// Adds the learned run times to a batch, if they have changed and kRunTimesInterval has passed
  /// or the batch is the last one of the owner.
  void AddRunTimes(scheduling::CommitBatch& batch, bool last) const;
  /// Records that the run times of a batch are durable.
  void OnRunTimesStored(const scheduling::CommitBatch& batch, int64_t learned_runs);
  Transaction MakeTransaction(const EncodedBatch& encoded, const Release* release) const;

  FleetContext& m_context;
  PoolName m_pool;
  scheduling::PoolScheduler& m_scheduler;
  std::function<void()> m_on_committed;
  const InstanceDirectory* m_directory;
  int64_t m_version;     // Of the owner row.
  int64_t m_commit = 0;  // Number of the current commit, counted from the takeover.
  TimePoint m_valid_until;
  JobsView m_jobs_view;
  int64_t m_jobs_clock_ms = 0;  // JobsView::clock_ms when the current batch was collected.
  bool m_loaded = false;
  std::map<JobId, size_t> m_further_rows;  // In the store, of jobs with progress in several rows.
  int64_t m_stored_runs = 0;  // Number of learned runs in the stored rows of run times.
  std::optional<TimePoint> m_run_times_stored_at;
  std::vector<std::shared_ptr<AwaitedCommit>> m_awaited;
  bool m_ended = false;
  Mailbox<int> m_wake;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_STATE_COMMITTER_H_
