#ifndef CITRONFERRY_PROVIDER_INSTANCE_SERVICE_H_
#define CITRONFERRY_PROVIDER_INSTANCE_SERVICE_H_

#include <qcoro/qcorotask.h>

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/ret.h"

namespace citronferry::provider {

enum class InstanceState { kLive, kLeaving };

struct InstanceInfo {
  InstanceId id;
  std::string address;  ///< IP address and port of the executor or, for an entry, of its listener.
  DataCentreName data_centre;
  RackName rack;
  InstanceState state = InstanceState::kLive;
  bool is_entry = false;  ///< An instance of the system itself.

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

/// The platform's list of instances, which lags behind reality, and its control operations.
class InstanceService {
 public:
  virtual ~InstanceService() = default;

  /// @return live and leaving instances; failed ones are absent after the platform's lag.
  virtual QCoro::Task<RetVal<std::vector<InstanceInfo>>> List() = 0;
  /// Starts a reboot of a drained instance; asking again while it reboots is harmless.
  virtual QCoro::Task<Ret> Reboot(InstanceId instance) = 0;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_INSTANCE_SERVICE_H_
