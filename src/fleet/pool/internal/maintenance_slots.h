#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_SLOTS_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_SLOTS_H_

#include <functional>
#include <optional>
#include <set>

#include "fleet/fleet_context.h"

namespace citronferry::fleet {

/// Progress of a maintenance wave, shared by the owners of all pools.
struct WaveProgress {
  std::set<InstanceId> out;   ///< Instances with a slot: in maintenance, or about to be.
  std::set<InstanceId> done;  ///< Instances that need no more maintenance in this wave.
  int64_t version = 0;        ///< Version of the row; 0 if there is none yet.
};

/// Slots of a maintenance wave, a semaphore in the store that bounds the number of instances out of
/// service at a time. Each wave has a row, which is written on condition of its version, so that
/// the owners of all pools together never exceed the bound.
class MaintenanceSlots {
 public:
  explicit MaintenanceSlots(FleetContext& context) : m_context(context) {}

  /// Reads the progress of a wave.
  QCoro::Task<RetVal<WaveProgress>> Read(int64_t wave);
  /// Acquires a slot for an instance; succeeds without effect if it has one.
  /// @param max_at_once number of slots of the wave.
  /// @return success, or kResourceExhausted if all slots are taken.
  QCoro::Task<Ret> Acquire(int64_t wave, int max_at_once, InstanceId instance);
  /// Releases the slot of an instance.
  /// @param done whether the instance needs no more maintenance in this wave.
  QCoro::Task<Ret> Release(int64_t wave, InstanceId instance, bool done);

 private:
  /// Reads and writes the row of a wave, and repeats both when the write fails, for example because
  /// another owner has written it in between.
  /// @param change modifies what was read, or returns the result if nothing has to be written.
  QCoro::Task<Ret> Change(int64_t wave, std::function<std::optional<Ret>(WaveProgress&)> change);
  /// Writes the row of a wave, if it still has the version in `progress`.
  QCoro::Task<Ret> Write(int64_t wave, const WaveProgress& progress);

  FleetContext& m_context;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_MAINTENANCE_SLOTS_H_
