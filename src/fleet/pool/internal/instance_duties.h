#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DUTIES_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DUTIES_H_

#include <map>
#include <set>
#include <vector>

#include "decisions/scheduling/drain_planner.h"
#include "fleet/fleet_context.h"
#include "fleet/pool/internal/instance_directory.h"
#include "fleet/pool/internal/upkeep_ledger.h"

namespace citronferry::fleet {

class PoolOwner;

/// Takes the pool's instances out for waves of maintenance: drains each, orders its maintenance and
/// waits until it is back.
class InstanceDuties {
 public:
  InstanceDuties(PoolOwner& owner, InstanceDirectory& directory);

  QCoro::Task<void> Run();
  /// @return whether an instance is being drained or maintained.
  bool Has(const InstanceId& instance) const { return m_duties.contains(instance); }

 private:
  enum class Phase {
    kDraining,
    kOrdered,  ///< The maintenance was accepted; the instance is not back yet.
  };
  struct Duty {
    int64_t wave = 0;
    scheduling::ExecutorId executor;
    Phase phase = Phase::kDraining;
    bool place_taken = false;
    TimePoint ordered_at{};
  };
  struct OpenWave {
    UpkeepWave wave;
    TimePoint first_seen{};
    WaveProgress progress;
    bool read = false;
    TimePoint checked_at{};
  };

  QCoro::Task<void> Refresh();
  void NoteWaves();
  void ChooseNext(OpenWave& open);
  QCoro::Task<void> Advance(InstanceId instance);
  QCoro::Task<void> OrderMaintenance(InstanceId instance);
  QCoro::Task<void> FinishWaves();

  PoolOwner& m_owner;
  FleetContext& m_context;
  InstanceDirectory& m_directory;
  UpkeepLedger m_ledger;
  TimePoint m_first_order_at{};  // Leaves the previous owner's orders time to pass.
  std::map<int64_t, OpenWave> m_waves;
  std::set<int64_t> m_finished_waves;
  std::map<InstanceId, Duty> m_duties;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_INSTANCE_DUTIES_H_
