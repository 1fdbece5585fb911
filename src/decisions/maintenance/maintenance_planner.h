#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_MAINTENANCE_PLANNER_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_MAINTENANCE_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "decisions/maintenance/estimate.h"
#include "decisions/maintenance/types.h"

namespace citronferry::maintenance {

/// Plans which instances of each pool are taken out of service, for maintenance waves and for moves
/// to other pools.
///
/// Planned and unplanned unavailability of a pool share one budget. The planner records each
/// decision in the pool's row by compare-and-set before an instance is drained, so that another
/// planner can continue from the row.
class MaintenancePlanner {
 public:
  /// @param event what happened.
  /// @param now monotonic time; it must not decrease between calls.
  /// @return actions to carry out; only Tick leads to any.
  std::vector<Action> Handle(const Event& event, TimePoint now);

  /// @return the state of each pool at the last tick.
  const std::vector<PoolProgress>& progress() const { return m_progress; }
  /// @return the pool rows as read or written last.
  const std::map<PoolName, PoolRow>& rows() const { return m_rows; }

 private:
  /// Working state of one pool during a tick.
  struct PoolUpdate {
    const PoolPlan& plan;
    PoolRow row;  ///< Content to be written.
    std::vector<const Instance*> instances;
    std::map<RackName, int> unplanned_by_rack;
    PoolProgress progress;

    /// @return the number of instances that may still be taken out of service.
    int RemainingBudget() const { return progress.allowed - progress.planned; }
  };

  void OnPlanObserved(const Event& event);
  void OnPoolObserved(const Event& event);
  void OnFleetObserved(const Event& event);
  void OnTick(const Event& event);

  void PlanPool(const PoolPlan& plan, const Tick& tick);
  void UpdateOut(PoolUpdate& update);
  /// @return whether to remove the entry: the instance is back in service or no longer known.
  bool UpdateOutInstance(PoolUpdate& update, OutOfServiceInstance& out);
  void CountUnavailable(PoolUpdate& update);
  void StartWave(PoolUpdate& update, const Tick& tick);
  void TakeOutForMoves(PoolUpdate& update, const Tick& tick);
  void TakeOutForWave(PoolUpdate& update, const Tick& tick);
  void TakeOutOfService(PoolUpdate& update, const Instance& instance, OutOfServiceInstance out);
  void BlockRack(const InstanceId& failed);
  void CollectFailedRacks();
  void CollectMovingPools();
  const Instance* FindInstance(const InstanceId& id) const;
  Duration TimeoutOf(const PoolPlan& plan, const std::string& wave) const;

  uint64_t m_document = 0;
  std::vector<PoolPlan> m_plans;
  std::map<PoolName, PoolRow> m_rows;
  std::map<PoolName, uint64_t> m_versions;
  std::vector<Instance> m_instances;  ///< Sorted by id.
  std::map<PoolName, std::vector<const Instance*>> m_instances_by_pool;
  TimePoint m_list_read{};
  bool m_fleet_known = false;
  std::set<RackName> m_failed_racks;
  std::set<PoolName> m_moving_pools;            ///< Sources and targets of the current moves.
  std::map<InstanceId, TimePoint> m_out_since;  ///< When this planner took instances out.
  /// When this planner first saw each detached instance. A planner that takes over counts from its
  /// own first observation, because monotonic clocks of different machines are not comparable.
  std::map<InstanceId, TimePoint> m_detached_since;
  MaintenanceTimeEstimator m_maintenance_time;
  std::vector<PoolProgress> m_progress;
  std::vector<Action> m_actions;
  TimePoint m_now{};
};

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_MAINTENANCE_PLANNER_H_
