#ifndef CITRONFERRY_FLEET_INTERFACES_ANNOUNCEMENTS_H_
#define CITRONFERRY_FLEET_INTERFACES_ANNOUNCEMENTS_H_

#include <qcoro/qcorotask.h>

#include <optional>
#include <string>
#include <vector>

#include "base/ret.h"
#include "fleet/interfaces/configuration.h"

namespace citronferry::fleet {

/// A row that cannot be decoded; it counts as absent.
struct UnreadableRow {
  std::string key;
  std::string error;
  bool is_configuration = false;
};

/// Configuration and maintenance waves that the operators have published.
struct OperatorChanges {
  std::optional<Configuration> configuration;  ///< The newest one, if it has changed.
  std::vector<MaintenanceWave> waves;
  std::vector<UnreadableRow> unreadable;
  int64_t version = 0;  ///< Version of the store to continue from.
};

/// Changes of the registry of executors.
struct RegistryChanges {
  std::vector<scheduling::ExecutorDescription> listed;
  std::vector<scheduling::ExecutorId> removed;
  std::vector<UnreadableRow> unreadable;
  int64_t version = 0;  ///< Version of the store to continue from.
};

/// Data that operators and executors publish through the store.
class Announcements {
 public:
  virtual ~Announcements() = default;

  /// Reads the current configuration and all maintenance waves.
  virtual QCoro::Task<RetVal<OperatorChanges>> ReadOperator() = 0;
  /// Waits for changes of the configuration or the waves.
  /// @param after version of the store to continue from.
  /// @param wait longest time to wait for a change.
  /// @return the changes, or kNotFound if the store no longer has the history after this version.
  virtual QCoro::Task<RetVal<OperatorChanges>> FollowOperator(int64_t after, Duration wait) = 0;
  /// Reads the registry of executors.
  virtual QCoro::Task<RetVal<RegistryChanges>> ReadRegistry() = 0;
  /// Waits for changes of the registry; see FollowOperator for the parameters.
  /// @return the changes, or kNotFound if the store no longer has the history after this version.
  virtual QCoro::Task<RetVal<RegistryChanges>> FollowRegistry(int64_t after, Duration wait) = 0;
  /// Publishes the state of a maintenance wave.
  /// @param completed whether all instances of the wave have been maintained.
  virtual QCoro::Task<Ret> PublishWave(int64_t number, bool completed) = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_ANNOUNCEMENTS_H_
