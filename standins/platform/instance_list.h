#ifndef CITRONFERRY_STANDINS_PLATFORM_INSTANCE_LIST_H_
#define CITRONFERRY_STANDINS_PLATFORM_INSTANCE_LIST_H_

#include <QJsonArray>
#include <QJsonObject>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"

namespace citronferry::standin {

/// List of instances that shows changes with a lag.
class InstanceList {
 public:
  /// Adds or replaces an instance; "id" names it.
  void Put(const QJsonObject& instance, TimePoint now);
  void Remove(const std::string& id, TimePoint now);
  void SetLag(Duration lag) { m_lag = lag; }
  bool Contains(const std::string& id) const { return m_instances.contains(id); }

  /// @return the list as it was one lag ago.
  QJsonArray VisibleInstances(TimePoint now);
  /// @return a number that differs between visible lists.
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
