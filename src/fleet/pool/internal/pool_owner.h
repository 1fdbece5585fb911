#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_POOL_OWNER_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_POOL_OWNER_H_

#include <map>
#include <memory>
#include <set>

#include "decisions/scheduling/pool_scheduler.h"
#include "fleet/change_feed.h"
#include "fleet/fleet_context.h"
#include "fleet/pool/internal/instance_directory.h"
#include "fleet/pool/internal/state_committer.h"
#include "supervision/awaitables.h"
#include "supervision/task_scope.h"

namespace citronferry::fleet {

class ExecutorLink;
class MaintenanceCoordinator;
class InstanceMover;

/// A candidate takes a pool over when its owner has not committed for this long while the store
/// answered. It covers an owner's lease (kOwnerLease) and clocks that differ a little.
inline constexpr Duration kVacancyTimeout = 2500ms;
/// How long an owner trusts its ownership after sending a commit that succeeded.
inline constexpr Duration kOwnerLease = 2200ms;

struct Ownership {
  int64_t epoch = 0;
  TimePoint acquired_at{};  ///< When the bid was sent.
};

/// Works as the owner of a pool: feeds events to its scheduler, carries its orders out and makes
/// its state durable.
class PoolOwner {
 public:
  PoolOwner(FleetContext& context, PoolName pool, Ownership ownership);
  ~PoolOwner();

  /// Owns the pool until it is lost or a stop is requested; then gives it up.
  /// @return why it was lost, or success after a stop.
  QCoro::Task<Ret> Run(StopSignal& stop);

  // For the links.
  FleetContext& context() { return m_context; }
  const PoolName& pool() const { return m_pool; }
  scheduling::PoolScheduler& scheduler() { return *m_scheduler; }
  int64_t epoch() const { return m_ownership.epoch; }
  /// @return the version of the newest commit, which rises across the owners of all pools.
  int64_t newest_version() const { return m_committer->newest_version(); }
  /// @return whether orders may be given and leases extended.
  bool may_order() const;
  StopSignal& ended() { return m_ended; }
  /// Starts a task that ends before the owner does.
  void Spawn(TaskScope::TaskFunction task) { m_tasks.Spawn(std::move(task)); }
  /// @return whether an instance has been in this pool long enough for orders: two owners must not
  ///   take turns with one within the least time between orders of two holders.
  bool HasSettled(const Instance& instance) const;
  /// Plans what the last events allow, sends the orders and wakes the commit task.
  void ProcessUpdates();

 private:
  void OnCommitted();
  /// Plans now, or when the last plan is old enough.
  void Plan();
  QCoro::Task<Ret> Load();
  QCoro::Task<void> FollowJobs();
  QCoro::Task<void> Tick();
  QCoro::Task<void> AskAdviser();
  /// Removes the definitions of jobs that ended long ago.
  QCoro::Task<void> RemoveExpiredJobs();
  void ApplyJobRows(std::span<const Row> rows);
  /// @return the definition in a row, or nothing, with a log line, if it can not be read.
  std::shared_ptr<const scheduling::JobDefinition> ReadDefinition(const Row& row) const;
  template <typename Order>
  void Send(std::vector<Order>& orders);
  void ApplyRegistry();
  void ApplyConfiguration();
  void SyncLinks();
  void UpdateGauges();
  void LogDecisions();
  void LogNewJob(const scheduling::JobDefinition& job) const;
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
  std::set<scheduling::ExecutorId> m_listed;
  ChangeFeed<RowChanges> m_jobs;
  Mailbox<scheduling::TicketRequest> m_ticket_requests;
  TimePoint m_planned_at{};
  Subscription m_next_plan;
  bool m_plan_waits = false;
  StopSignal m_ended;
  Ret m_reason;
  Subscription m_registry_subscription;
  Subscription m_configuration_subscription;
  TaskScope m_tasks;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_POOL_OWNER_H_
