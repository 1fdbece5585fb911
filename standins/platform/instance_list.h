#ifndef CITRONFERRY_STANDINS_PLATFORM_INSTANCE_LIST_H_
#define CITRONFERRY_STANDINS_PLATFORM_INSTANCE_LIST_H_

#include <QJsonArray>
#include <QJsonObject>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"

namespace citronferry::standin {

/// Instance list whose readers see each change after a configurable delay.
class InstanceList {
 public:
  /// Adds an instance or replaces the one with the same "id".
  void Put(const QJsonObject& instance, TimePoint now);
  void Remove(const std::string& id, TimePoint now);
  /// @param lag delay between a change and its visibility.
  void SetLag(Duration lag) { m_lag = lag; }
  bool Contains(const std::string& id) const { return m_instances.contains(id); }

  /// @return the list as it was one lag ago.
  QJsonArray VisibleInstances(TimePoint now);
  /// @return the version of the list that VisibleInstances() returns; each change increments it.
  uint64_t VisibleVersion(TimePoint now);

 private:
  struct Snapshot {
    TimePoint time;
    QJsonArray instances;
    uint64_t version = 0;
  };

  void AddSnapshot(TimePoint now);
  void RemoveOutdatedSnapshots(TimePoint now);

  std::map<std::string, QJsonObject> m_instances;
  std::deque<Snapshot> m_snapshots;
  Duration m_lag{};
  uint64_t m_version = 0;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_PLATFORM_INSTANCE_LIST_H_
