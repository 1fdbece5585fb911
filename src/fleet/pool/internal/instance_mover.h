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

/// Tells the other pools what this one needs, and moves instances that it can spare to pools that
/// lack them.
class InstanceMover {
 public:
  /// @param busy tells whether another duty has an instance.
  InstanceMover(PoolOwner& owner, InstanceDirectory& directory,
                std::function<bool(const InstanceId&)> busy);

  QCoro::Task<void> Run();
  void ObserveArrival(double core_seconds);

 private:
  struct Departure {
    PoolName to;
    TimePoint ordered_at{};
  };

  scheduling::PoolDemand ComputeDemand();
  QCoro::Task<void> Publish(scheduling::PoolDemand demand);
  QCoro::Task<void> ExecuteMoves();
  QCoro::Task<void> MoveInstance(InstanceId instance, scheduling::ExecutorId executor, PoolName to);
  /// @return instances that can leave at once, those without an executor included.
  std::vector<const Instance*> Movable() const;
  bool IsIdle(const scheduling::ExecutorId& executor) const;
  void ObservePeerDemands();

  PoolOwner& m_owner;
  FleetContext& m_context;
  InstanceDirectory& m_directory;
  std::function<bool(const InstanceId&)> m_is_reserved;
  scheduling::SurgeForecast m_forecast;
  TimePoint m_first_order_at{};
  std::map<PoolName, int> m_peer_surges;
  std::map<InstanceId, Departure> m_departures;
  std::optional<scheduling::PoolDemand> m_published;
  TimePoint m_published_at{};
  bool m_forecast_restored = false;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_MOVER_H_
