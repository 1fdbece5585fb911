#include "standins/platform/instance_list.h"

namespace citronferry::standin {

void InstanceList::Put(const QJsonObject& instance, TimePoint now) {
  m_instances[instance.value(QLatin1String("id")).toString().toStdString()] = instance;
  AddSnapshot(now);
}

void InstanceList::Remove(const std::string& id, TimePoint now) {
  m_instances.erase(id);
  AddSnapshot(now);
}

void InstanceList::AddSnapshot(TimePoint now) {
  QJsonArray instances;
  for (const auto& [id, instance] : m_instances) instances.append(instance);
  m_snapshots.push_back({.time = now, .instances = std::move(instances), .version = ++m_version});
}

void InstanceList::RemoveOutdatedSnapshots(TimePoint now) {
  while (m_snapshots.size() > 1 && m_snapshots[1].time + m_lag <= now) m_snapshots.pop_front();
}

uint64_t InstanceList::VisibleVersion(TimePoint now) {
  RemoveOutdatedSnapshots(now);
  return m_snapshots.empty() ? 0 : m_snapshots.front().version;
}

QJsonArray InstanceList::VisibleInstances(TimePoint now) {
  RemoveOutdatedSnapshots(now);
  if (m_snapshots.empty()) return {};
  return m_snapshots.front().instances;
}

}  // namespace citronferry::standin
