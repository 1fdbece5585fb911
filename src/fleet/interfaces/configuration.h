#ifndef CITRONFERRY_FLEET_INTERFACES_CONFIGURATION_H_
#define CITRONFERRY_FLEET_INTERFACES_CONFIGURATION_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "decisions/scheduling/types.h"

namespace citronferry::fleet {

/// A queue and the address at which callers reach it.
struct QueueRoute {
  scheduling::QueuePolicy policy;
  std::string host;
  std::string path_prefix;
};

struct Pool {
  PoolName name;
  bool rejects_overload = true;  ///< Its executors refuse tasks that do not fit.
  bool standby = false;          ///< Its instances are off and cost nothing.
};

/// The operators' configuration, whole.
struct Configuration {
  int64_t version = 0;
  std::vector<QueueRoute> queues;
  std::vector<Pool> pools;
  int64_t max_body_bytes = 0;

  /// @return the queue whose host matches and whose prefix is the longest that the path begins
  ///   with, or nullptr.
  const QueueRoute* FindQueue(std::string_view host, std::string_view path) const;
  const Pool* FindPool(const PoolName& name) const;
};

/// Instances that are due for maintenance.
struct MaintenanceWave {
  int64_t number = 0;
  std::vector<InstanceId> instances;
  Duration time_left_at_start{};  ///< From the moment the wave was announced.
  int max_at_once = 1;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_CONFIGURATION_H_
