#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_COORDINATOR_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_COORDINATOR_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "decisions/scheduling/drain_planner.h"
#include "decisions/scheduling/pool_scheduler.h"
#include "fleet/fleet_context.h"
#include "fleet/pool/internal/instance_directory.h"
#include "fleet/pool/internal/maintenance_slots.h"
#include "fleet/tables.h"

namespace citronferry::fleet {

class PoolOwner;

/// Carries out maintenance waves on the instances of a pool: drains each instance, orders its
/// maintenance and waits until it is back in service.
class MaintenanceCoordinator {
 public:
  MaintenanceCoordinator(PoolOwner& owner, InstanceDirectory& directory);

  /// Runs until the owner of the pool ends.
  QCoro::Task<void> Run();
  /// @return whether an instance is being drained or maintained.
  bool IsInMaintenance(const InstanceId& instance) const { return m_operations.contains(instance); }
  /// @return the maintenance that has been accepted and from which the instance is not back yet.
  std::vector<OrderedMaintenance> ordered() const;
  /// Continues the maintenance that the previous owner has ordered. Ordered again, it would need
  /// another drain of an instance that is back.
  void Resume(std::span<const OrderedMaintenance> maintenance);

 private:
  enum class Phase {
    kDraining,
    kOrdered,  ///< The maintenance was accepted; the instance is not back yet.
  };
  /// Maintenance of one instance.
  struct Operation {
    int64_t wave = 0;
    scheduling::ExecutorId executor;  ///< Empty for an instance that is off.
    Phase phase = Phase::kDraining;
    bool slot_acquired = false;  ///< In MaintenanceSlots, so the instance may go out of service.
    TimePoint ordered_at{};
    /// Since when the drain cannot go on, or keeps a long-running task from the executor.
    std::optional<TimePoint> blocked_since;
    bool given_up = false;  ///< Its slot has yet to be released.
  };
  /// Wave that is not complete.
  struct OpenWave {
    MaintenanceWave wave;
    TimePoint first_seen{};
    WaveProgress progress;         ///< As last read from the store.
    bool progress_loaded = false;  ///< The progress has been read.
    TimePoint checked_at{};        ///< When the progress was read.
  };

  /// Reads the list of instances and the progress of the waves again, if they are too old.
  QCoro::Task<void> Refresh();
  /// Adds the waves that were announced since the last call.
  void AddNewWaves();
  /// Chooses instances of a wave and starts draining them.
  void StartDrains(OpenWave& open);
  /// Postpones the drain of an instance if its long-running tasks have no place elsewhere and may
  /// not pause.
  /// @return whether it can be drained now.
  bool CanDrain(int64_t wave, const InstanceId& instance, const scheduling::ExecutorId& executor);
  /// Records whether a drain can go on.
  /// @return whether it has been blocked for too long.
  bool UpdateBlocked(Operation& operation, const scheduling::DrainPlan& plan) const;
  /// Stops the long-running tasks of an executor, those that pause last.
  QCoro::Task<void> StopLongRunningTasks(InstanceId instance, scheduling::DrainPlan plan);
  /// Acquires the slot of an operation.
  /// @return whether it has one.
  QCoro::Task<bool> AcquireSlot(InstanceId instance);
  /// Takes the next step of an operation that has not been ordered yet, if it is possible.
  QCoro::Task<void> Advance(InstanceId instance);
  /// Ends an operation of an instance that this owner may no longer order.
  /// @param done whether the instance needs no more maintenance in this wave.
  QCoro::Task<void> GiveUp(InstanceId instance, bool done);
  /// Ends an operation once its instance is back in service.
  QCoro::Task<void> FinishReturned(InstanceId instance);
  /// @return whether the instance of an operation that was ordered is back in service.
  bool IsBack(const Operation& operation, const Instance& instance) const;
  /// Acquires a slot for a drained instance and orders its maintenance.
  QCoro::Task<void> OrderMaintenance(InstanceId instance);
  /// Publishes the completion of the waves in which no instance is left.
  QCoro::Task<void> FinishWaves();

  PoolOwner& m_owner;
  FleetContext& m_context;
  InstanceDirectory& m_directory;
  MaintenanceSlots m_slots;
  TimePoint m_first_order_at{};  // FleetOptions::holder_change_interval after the takeover.
  std::map<int64_t, OpenWave> m_waves;
  std::set<int64_t> m_finished_waves;
  std::map<InstanceId, Operation> m_operations;
  std::map<InstanceId, TimePoint> m_postponed;  // Until when an instance is not drained.
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_COORDINATOR_H_
