#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_MOVER_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_MOVER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "decisions/scheduling/move_planner.h"
#include "decisions/scheduling/surge_forecast.h"
#include "fleet/fleet_context.h"
#include "fleet/pool/internal/instance_directory.h"

namespace citronferry::fleet {

class PoolOwner;

/// Publishes the demand of a pool, and moves instances that it can spare to pools with a shortage.
class InstanceMover {
 public:
  /// @param busy whether an instance is unavailable for moves, because it is in maintenance.
  InstanceMover(PoolOwner& owner, InstanceDirectory& directory,
                std::function<bool(const InstanceId&)> busy);

  /// Runs until the owner of the pool ends.
  QCoro::Task<void> Run();
  /// Updates the surge forecast with a new job.
  /// @param core_seconds expected work of the job.
  void ObserveArrival(double core_seconds);

 private:
  /// Move of an instance to another pool.
  struct Departure {
    PoolName to;
    TimePoint ordered_at{};
    bool uncertain = false;  ///< The order may still be sent, or take effect: kLateOrderWindow.
  };

  /// Updates the surge forecast, removes finished departures and computes the demand of the pool.
  scheduling::PoolDemand ComputeDemand();
  /// Writes the demand to the store if it differs enough from the published one.
  QCoro::Task<void> Publish(scheduling::PoolDemand demand);
  /// Plans the moves between all pools and starts those from this pool.
  QCoro::Task<void> ExecuteMoves();
  QCoro::Task<void> MoveInstance(InstanceId instance, scheduling::ExecutorId executor, PoolName to);
  /// @return the instances that can leave the pool now: those with an idle executor, or all of a
  ///   standby pool.
  std::vector<const Instance*> Movable() const;
  bool IsIdle(const scheduling::ExecutorId& executor) const;
  /// Updates the surge forecast with the published demands of all pools.
  void ObservePeerDemands();

  PoolOwner& m_owner;
  FleetContext& m_context;
  InstanceDirectory& m_directory;
  std::function<bool(const InstanceId&)> m_is_reserved;
  scheduling::SurgeForecast m_forecast;
  TimePoint m_first_order_at{};  // FleetOptions::holder_change_interval after the takeover.
  std::map<PoolName, int> m_peer_surges;  // Last published number of surges of each other pool.
  std::map<InstanceId, Departure> m_departures;
  std::optional<scheduling::PoolDemand> m_published;
  TimePoint m_published_at{};
  bool m_forecast_restored = false;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_MOVER_H_
