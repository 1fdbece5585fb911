#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_OWNER_ELECTOR_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_OWNER_ELECTOR_H_

#include <optional>

#include "fleet/fleet_context.h"
#include "supervision/awaitables.h"

namespace citronferry::fleet {

/// Takes part in the election of the owner of a pool, and runs a PoolOwner after it has won.
class OwnerElector {
 public:
  /// @param stop ends Run; has to outlive the elector.
  OwnerElector(FleetContext& context, PoolName pool, StopSignal& stop);

  /// Waits until the pool is vacant, bids for it and, if the bid succeeds, owns the pool until the
  /// ownership is lost or released.
  QCoro::Task<Ret> Run();

 private:
  /// Waits until the pool is vacant and this entry may bid.
  /// @return the owner to replace, as last observed, or nothing after a stop.
  QCoro::Task<std::optional<OwnerView>> WaitForVacancy();
  /// @return whether this entry may bid: there is no owner, or it has not renewed for
  ///   kVacancyTimeout, or it has ended.
  bool IsVacant() const;
  /// @return whether the owner is known to have ended, as part of this process or of an earlier one
  ///   on this machine.
  bool HolderHasEnded(const OwnerView& owner) const;
  /// @return whether the previous owner has released the pool to this entry.
  bool IsSuccessor() const;
  /// @return how long this entry leaves a vacant pool to those that should rather own it.
  Duration BidDelay() const;

  FleetContext& m_context;
  PoolName m_pool;
  StopSignal& m_stop;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_OWNER_ELECTOR_H_
