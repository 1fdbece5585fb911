#include "decisions/dispatch/internal/expiry_index.h"

namespace citronferry::dispatch {

void ExpiryIndex::Add(uint32_t queue, TimePoint expires, RequestNumber number) {
  if (queue >= m_queues.size()) m_queues.resize(queue + 1);
  Entries& entries = m_queues[queue];
  if (entries.empty() || expires < entries.begin()->first) {
    if (!entries.empty()) m_heads.erase({entries.begin()->first, queue});
    m_heads.emplace(expires, queue);
  }
  entries.emplace(expires, number);
}

void ExpiryIndex::Remove(uint32_t queue, TimePoint expires, RequestNumber number) {
  Entries& entries = m_queues[queue];
  entries.erase({expires, number});
  const bool head_changed = entries.empty() || expires < entries.begin()->first;
  if (!head_changed) return;
  m_heads.erase({expires, queue});
  if (!entries.empty()) m_heads.emplace(entries.begin()->first, queue);
}

std::optional<RequestNumber> ExpiryIndex::FindExpired(TimePoint now) const {
  if (m_heads.empty() || m_heads.begin()->first > now) return std::nullopt;
  return First(m_heads.begin()->second);
}

std::optional<RequestNumber> ExpiryIndex::First(uint32_t queue) const {
  if (queue >= m_queues.size() || m_queues[queue].empty()) return std::nullopt;
  return m_queues[queue].begin()->second;
}

}  // namespace citronferry::dispatch
