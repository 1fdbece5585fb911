#ifndef CITRONFERRY_PROVIDER_INSTANCE_SERVICE_H_
#define CITRONFERRY_PROVIDER_INSTANCE_SERVICE_H_

#include <qcoro/qcorotask.h>

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/ret.h"

namespace citronferry::provider {

/// State of an instance in the platform's list. A leaving instance receives no new work.
enum class InstanceState { kLive, kLeaving };

/// One item of the platform's instance list.
struct InstanceInfo {
  InstanceId id;
  std::string address;  ///< IP address and port of the executor or, for an entry, of its listener.
  DataCentreName data_centre;
  RackName rack;
  InstanceState state = InstanceState::kLive;
  bool is_entry = false;  ///< The instance runs an entry of this system, not an executor.

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

/// The platform's instance list, which lags behind the actual state, and its control operations.
class InstanceService {
 public:
  virtual ~InstanceService() = default;

  /// @return live and leaving instances; a failed instance disappears from the list only after the
  ///   platform has noticed the failure.
  virtual QCoro::Task<RetVal<std::vector<InstanceInfo>>> List() = 0;
  /// Starts the reboot of a drained instance. The call is idempotent while the reboot is in
  /// progress.
  /// @return success as soon as the platform has accepted the reboot.
  virtual QCoro::Task<Ret> Reboot(InstanceId instance) = 0;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_INSTANCE_SERVICE_H_
