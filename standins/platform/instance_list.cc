#include "standins/platform/instance_list.h"

namespace citronferry::standin {

void InstanceList::Put(const QJsonObject& instance, TimePoint now) {
  m_instances[instance.value(QLatin1String("id")).toString().toStdString()] = instance;
  Record(now);
}

void InstanceList::Remove(const std::string& id, TimePoint now) {
  m_instances.erase(id);
  Record(now);
}

void InstanceList::Record(TimePoint now) {
  QJsonArray instances;
  for (const auto& [id, instance] : m_instances) instances.append(instance);
  m_history.push_back({.time = now, .instances = std::move(instances), .version = ++m_version});
}

void InstanceList::Trim(TimePoint now) {
  while (m_history.size() > 1 && m_history[1].time + m_lag <= now) m_history.pop_front();
}

uint64_t InstanceList::VisibleVersion(TimePoint now) {
  Trim(now);
  return m_history.empty() ? 0 : m_history.front().version;
}

QJsonArray InstanceList::Visible(TimePoint now) {
  Trim(now);
  if (m_history.empty()) return {};
  return m_history.front().instances;
}

}  // namespace citronferry::standin
