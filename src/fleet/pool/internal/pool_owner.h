#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_POOL_OWNER_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_POOL_OWNER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/scheduling/plan_pacer.h"
#include "decisions/scheduling/pool_scheduler.h"
#include "fleet/change_feed.h"
#include "fleet/fleet_context.h"
#include "fleet/pool/internal/instance_directory.h"
#include "fleet/pool/internal/state_committer.h"
#include "supervision/awaitables.h"
#include "supervision/task_scope.h"

namespace citronferry::fleet {

class ExecutorLink;
class GrantCoordinator;
class MaintenanceCoordinator;
class InstanceMover;

/// A pool is vacant when its owner has not committed for this long while the store answered. Longer
/// than the lease of an owner (kOwnerLease), to allow for clocks that run at different rates.
inline constexpr Duration kVacancyTimeout = 2500ms;
/// Lease of an owner: how long its ownership is valid after it sent a commit that succeeded.
inline constexpr Duration kOwnerLease = 2200ms;

/// Result of a successful bid for a pool.
struct Ownership {
  int64_t epoch = 0;        ///< Version of the owner row; fencing token of orders to executors.
  TimePoint acquired_at{};  ///< When the bid was sent.
  /// Version of the owner row that the bid replaced, if the previous owner had released the pool.
  std::optional<int64_t> released_version;
  /// Instances with an order of an earlier owner that may still be carried out; nothing if the row
  /// of the previous owner did not tell.
  std::optional<std::vector<InstanceId>> ordered_instances = std::vector<InstanceId>();
};

/// Owner of a pool: passes events to the scheduler of the pool, sends its orders to executors and
/// commits its state to the store.
class PoolOwner : private scheduling::StartCost {
 public:
  PoolOwner(FleetContext& context, PoolName pool, Ownership ownership);
  ~PoolOwner() override;

  /// Owns the pool until the ownership is lost or a stop is requested, which releases it.
  /// @return why the ownership was lost, or success after a stop.
  QCoro::Task<Ret> Run(StopSignal& stop);

  // Used by the executor links, the maintenance coordinator and the instance mover.
  FleetContext& context() { return m_context; }
  const PoolName& pool() const { return m_pool; }
  scheduling::PoolScheduler& scheduler() { return *m_scheduler; }
  int64_t epoch() const { return m_ownership.epoch; }
  /// @return the version of the last commit; it increases across the owners of all pools.
  int64_t newest_version() const { return m_committer->newest_version(); }
  /// @return whether the ownership is valid, so that orders may be sent and leases extended.
  bool may_order() const;
  /// @return whether tasks may be started: orders may be sent, and the owner has read the
  ///   cancellations that it must not miss, see FleetOptions::cancellation_bound.
  bool may_start() const;
  /// @return the signal that ends the tasks of the owner.
  StopSignal& ended() { return m_ended; }
  /// Starts a task that ends before the owner does.
  void Spawn(TaskScope::TaskFunction task) { m_tasks.Spawn(std::move(task)); }
  /// Orders of two holders to an instance have to be FleetOptions::holder_change_interval apart,
  /// and the move to this pool was ordered by another holder.
  /// @return whether an instance has been in this pool long enough to be given orders.
  bool HasSettled(const Instance& instance) const;
  /// Makes durable that an order to an instance of this pool is about to be sent, so that a
  /// successor waits until it can no longer be carried out.
  /// @return whether the order may be sent now; see InstanceDirectory::MayOrder.
  QCoro::Task<bool> AnnounceOrder(const OrderAnnouncement& announcement, InstanceOrderKind kind);
  /// Plans after events, sends the orders and wakes the committer.
  void ProcessUpdates();
  /// Makes the owner commit soon, also if its state has not changed: a commit gives a new version.
  void RequestCommit() { m_committer->Wake(); }
  /// Uses an executor again that was taken for gone or was cordoned.
  void Readmit(const scheduling::ExecutorId& id);

 private:
  int64_t BytesOf(const scheduling::JobDefinition& job,
                  const scheduling::ExecutorId& executor) const override;
  void OnCommitted();
  /// Plans now, or when the minimum interval since the last plan has passed.
  void Plan();
  /// Commits the state until the ownership ends.
  QCoro::Task<void> Commit();
  /// Starts to schedule, after the state has been read.
  void StartWork();
  /// Reads the state that the previous owner left in the store.
  QCoro::Task<Ret> Load();
  /// Reads what the previous owner left when it released the pool.
  /// @return nothing if it did not release the pool, or the record cannot be used.
  QCoro::Task<std::optional<HandoverRecord>> LoadHandover();
  /// Commits the remaining state and releases the pool to a successor.
  QCoro::Task<void> Release();
  std::vector<std::string> MakeHandoverRows() const;
  /// @return the entry that should take over the pool when this one stops.
  EntryId ChooseSuccessor() const;
  /// Reads what the previous owner learned about run times. Whatever cannot be read is only learned
  /// again.
  QCoro::Task<void> LoadRunTimes();
  QCoro::Task<void> FollowJobs();
  /// Advances the scheduler with time.
  QCoro::Task<void> Tick();
  /// Requests tickets from the placement adviser.
  QCoro::Task<void> AskAdviser();
  /// Removes the definitions of jobs whose retention time is over.
  QCoro::Task<void> RemoveExpiredJobs();
  /// @param followed version of the store up to which the rows have been read before.
  void ApplyJobRows(std::span<const Row> rows, int64_t followed);
  /// @return the definition in a row; if it cannot be decoded, logs the error and returns nullptr.
  std::shared_ptr<const scheduling::JobDefinition> ReadDefinition(const Row& row) const;
  template <typename Order>
  void Send(std::vector<Order>& orders);
  void ApplyRegistry();
  void ApplyConfiguration();
  /// Creates links for new executors and deletes those that have ended.
  void SyncLinks();
  /// Chooses the entries that make the calls to the executors, and connects to them.
  void UpdateRelays();
  void UpdateGauges();
  /// Logs and counts the decisions of the scheduler.
  void LogDecisions();
  void LogNewJob(const scheduling::JobDefinition& job) const;
  /// Ends the ownership, unless it has ended already.
  void End(Ret reason);

  FleetContext& m_context;
  PoolName m_pool;
  Ownership m_ownership;
  std::unique_ptr<scheduling::PoolScheduler> m_scheduler;
  std::unique_ptr<StateCommitter> m_committer;
  std::map<scheduling::ExecutorId, std::unique_ptr<ExecutorLink>> m_links;
  InstanceDirectory m_directory;
  std::unique_ptr<MaintenanceCoordinator> m_maintenance;
  std::unique_ptr<InstanceMover> m_mover;
  std::unique_ptr<GrantCoordinator> m_grants;
  std::set<scheduling::ExecutorId> m_listed;
  ChangeFeed<RowChanges> m_jobs;
  Mailbox<scheduling::TicketRequest> m_ticket_requests;  // Holds one at most.
  bool m_asking_adviser = false;
  scheduling::PlanPacer m_pacer;
  bool m_starts_paused = false;
  Subscription m_next_plan;
  bool m_plan_waits = false;
  Subscription m_plan_for_link;  // When tasks have waited for the link.
  bool m_loaded = false;         // The state of the pool has been read.
  StopSignal m_ended;
  OneShot<bool> m_committer_ended;
  Ret m_reason;
  Subscription m_registry_subscription;
  Subscription m_configuration_subscription;
  TaskScope m_tasks;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_POOL_OWNER_H_
