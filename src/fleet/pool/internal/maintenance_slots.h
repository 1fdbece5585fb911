#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_SLOTS_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_SLOTS_H_

#include <functional>
#include <optional>
#include <set>

#include "fleet/fleet_context.h"

namespace citronferry::fleet {

/// How far a wave of maintenance has come, shared by the owners of all pools.
struct WaveProgress {
  std::set<InstanceId> out;  ///< Down for maintenance, or about to be.
  std::set<InstanceId> done;
  int64_t version = 0;
};

/// The row of a wave. Changes are conditional, so that the owners of several pools together never
/// take more instances out than the wave allows.
class MaintenanceSlots {
 public:
  explicit MaintenanceSlots(FleetContext& context) : m_context(context) {}

  QCoro::Task<RetVal<WaveProgress>> Read(int64_t wave);
  /// Takes one of the places of instances that are out at the same time.
  /// @return kResourceExhausted when all are taken.
  QCoro::Task<Ret> Acquire(int64_t wave, int max_at_once, InstanceId instance);
  /// Gives the place back.
  /// @param done whether the maintenance was carried out.
  QCoro::Task<Ret> Release(int64_t wave, InstanceId instance, bool done);

 private:
  /// Changes the row, again if another owner was faster.
  /// @param change changes what was read, or returns the outcome if nothing has to be written.
  QCoro::Task<Ret> Change(int64_t wave, std::function<std::optional<Ret>(WaveProgress&)> change);
  QCoro::Task<Ret> Write(int64_t wave, const WaveProgress& progress);

  FleetContext& m_context;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_SLOTS_H_
