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
  scheduling::ExecutorId executor;  ///< Empty while it has none.
  RackName rack;
};

enum class InstanceOrderOutcome {
  kAccepted,
  kFenced,
  kBusy,     ///< Not up, or leaving.
  kRefused,  ///< Will not be accepted: no such instance, wave or pool.
  kThrottled,
  kUnknown,
};

/// Who gives an order to an instance, and with which token.
struct OrderIssuer {
  std::string holder;
  int64_t fencing_token = 0;
};

/// The platform's instances and the orders that take them out of service.
class Instances {
 public:
  virtual ~Instances() = default;

  virtual QCoro::Task<RetVal<std::vector<Instance>>> List() = 0;
  virtual QCoro::Task<InstanceOrderOutcome> Move(InstanceId instance, PoolName pool,
                                                 OrderIssuer issuer) = 0;
  virtual QCoro::Task<InstanceOrderOutcome> StartMaintenance(InstanceId instance, int64_t wave,
                                                             OrderIssuer issuer) = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_INSTANCES_H_
