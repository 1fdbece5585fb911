#ifndef CITRONFERRY_FLEET_INTERFACES_CONFIGURATION_H_
#define CITRONFERRY_FLEET_INTERFACES_CONFIGURATION_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "decisions/scheduling/types.h"

namespace citronferry::fleet {

/// A queue and the HTTP route to it: a call belongs to the queue if host and path prefix match.
struct QueueRoute {
  scheduling::QueuePolicy policy;
  std::string host;
  std::string path_prefix;
  bool is_public = false;  ///< Calls need no API key; its jobs belong to no team.
};

/// A team of callers with API keys, a share of full pools and a quota.
struct Team {
  TeamName name;
  std::vector<std::string> api_keys;
  double weight = 1;  ///< Share of a full pool, and jobs per second in all queues together.
  scheduling::Resources quota;  ///< Of what runs on all executors; 0 in a dimension: no limit.
};

/// A pool of executors.
struct Pool {
  PoolName name;
  bool rejects_overload = true;  ///< Its executors reject tasks that exceed their free capacity.
  bool standby = false;          ///< Its instances are switched off and cost nothing.
};

/// Complete configuration of the fleet, as published by the operators.
struct Configuration {
  int64_t version = 0;
  std::vector<QueueRoute> queues;
  std::vector<Pool> pools;
  std::vector<Team> teams;  ///< Without teams, no call needs an API key.
  int64_t max_body_bytes = 0;

  /// @return the queue with this host and the longest matching path prefix, or nullptr.
  const QueueRoute* FindQueue(std::string_view host, std::string_view path) const;
  /// @return the pool, or nullptr.
  const Pool* FindPool(const PoolName& name) const;
};

/// Set of instances that are due for maintenance by a common deadline.
struct MaintenanceWave {
  int64_t number = 0;
  std::vector<InstanceId> instances;
  Duration time_left_at_start{};  ///< Time to the deadline when the wave was announced.
  int max_at_once = 1;            ///< Most instances that may be out of service at a time.
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_CONFIGURATION_H_
