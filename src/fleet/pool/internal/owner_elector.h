#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_OWNER_ELECTOR_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_OWNER_ELECTOR_H_

#include <optional>

#include "fleet/fleet_context.h"
#include "supervision/awaitables.h"

namespace citronferry::fleet {

/// Competes for the ownership of a pool and works as its owner while it has it.
class OwnerElector {
 public:
  /// @param stop outlives the keeper.
  OwnerElector(FleetContext& context, PoolName pool, StopSignal& stop);

  /// Waits for the pool to be vacant, takes it over, and owns it until it is lost or given up.
  QCoro::Task<Ret> Run();

 private:
  /// @return the version of the owner row to replace, once the pool is vacant for this entry.
  QCoro::Task<std::optional<int64_t>> WaitForVacancy();
  bool IsVacant() const;

  FleetContext& m_context;
  PoolName m_pool;
  StopSignal& m_stop;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_OWNER_ELECTOR_H_
