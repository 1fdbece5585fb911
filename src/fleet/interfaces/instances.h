#ifndef CITRONFERRY_FLEET_INTERFACES_INSTANCES_H_
#define CITRONFERRY_FLEET_INTERFACES_INSTANCES_H_

#include <qcoro/qcorotask.h>

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/ret.h"
#include "decisions/scheduling/types.h"

namespace citronferry::fleet {

enum class InstanceState { kUp, kMoving, kInMaintenance, kDown };

/// An instance as the platform lists it.
struct Instance {
  InstanceId id;
  PoolName pool;
  InstanceState state = InstanceState::kDown;
  scheduling::ExecutorId executor;  ///< Executor on the instance; empty if none is registered.
  RackName rack;
};

/// Outcome of an order to an instance.
enum class InstanceOrderOutcome {
  kAccepted,
  kFenced,     ///< Another holder has given an order with a newer token.
  kBusy,       ///< The instance is not up, or is leaving.
  kRefused,    ///< Invalid: no such instance, wave or pool.
  kThrottled,  ///< Too many calls, or the service is unavailable; try again later.
  kUnknown,    ///< No response: the order may have taken effect.
};

/// Holder that gives an order to an instance, and its fencing token.
struct OrderIssuer {
  std::string holder;
  int64_t fencing_token = 0;
};

/// The platform's instances, and the orders that take them out of service.
class Instances {
 public:
  virtual ~Instances() = default;

  virtual QCoro::Task<RetVal<std::vector<Instance>>> List() = 0;
  /// Orders the move of an instance to a pool.
  virtual QCoro::Task<InstanceOrderOutcome> Move(InstanceId instance, PoolName pool,
                                                 OrderIssuer issuer) = 0;
  /// Orders the maintenance of an instance.
  /// @param wave number of the maintenance wave to which the instance belongs.
  virtual QCoro::Task<InstanceOrderOutcome> StartMaintenance(InstanceId instance, int64_t wave,
                                                             OrderIssuer issuer) = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_INSTANCES_H_
