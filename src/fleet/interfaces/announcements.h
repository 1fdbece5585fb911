#ifndef CITRONFERRY_FLEET_INTERFACES_ANNOUNCEMENTS_H_
#define CITRONFERRY_FLEET_INTERFACES_ANNOUNCEMENTS_H_

#include <qcoro/qcorotask.h>

#include <optional>
#include <string>
#include <vector>

#include "base/ret.h"
#include "fleet/interfaces/configuration.h"

namespace citronferry::fleet {

/// A row that could not be read; it stands for nothing.
struct UnreadableRow {
  std::string key;
  std::string error;
};

struct OperatorChanges {
  std::optional<Configuration> configuration;  ///< The newest one, if it changed.
  std::vector<MaintenanceWave> waves;
  std::vector<UnreadableRow> unreadable;
  int64_t version = 0;  ///< Where to continue.
};

struct RegistryChanges {
  std::vector<scheduling::ExecutorDescription> listed;
  std::vector<scheduling::ExecutorId> removed;
  std::vector<UnreadableRow> unreadable;
  int64_t version = 0;  ///< Where to continue.
};

/// What operators and executors announce.
class Announcements {
 public:
  virtual ~Announcements() = default;

  /// Reads everything that the operators have announced.
  virtual QCoro::Task<RetVal<OperatorChanges>> ReadOperator() = 0;
  /// Waits for a change. @return kNotFound when the history is gone.
  virtual QCoro::Task<RetVal<OperatorChanges>> FollowOperator(int64_t after, Duration wait) = 0;
  /// Reads the registry of executors.
  virtual QCoro::Task<RetVal<RegistryChanges>> ReadRegistry() = 0;
  /// Waits for a change. @return kNotFound when the history is gone.
  virtual QCoro::Task<RetVal<RegistryChanges>> FollowRegistry(int64_t after, Duration wait) = 0;
  /// Publishes how far a wave has come.
  virtual QCoro::Task<Ret> PublishWave(int64_t number, bool completed) = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_ANNOUNCEMENTS_H_
