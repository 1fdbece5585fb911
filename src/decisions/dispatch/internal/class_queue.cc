#include "decisions/dispatch/internal/class_queue.h"

#include <algorithm>

#include "decisions/dispatch/internal/state.h"

namespace citronferry::dispatch {

void ClassQueue::Push(RequestRecord& record) {
  const uint32_t team = record.team->index;
  if (team >= m_teams.size()) m_teams.resize(team + 1);
  TeamQueue& queue = m_teams[team];
  m_share.SetWeight(team, record.team->weight);
  if (queue.waiting.empty()) m_share.Activate(team);
  queue.waiting.PushBack(record);
  queue.work += record.work;
  m_work += record.work;
  ++m_size;
}

void ClassQueue::Remove(RequestRecord& record) {
  const uint32_t team = record.team->index;
  TeamQueue& queue = m_teams[team];
  queue.waiting.Remove(record);
  --m_size;
  queue.work -= record.work;
  m_work -= record.work;
  // Floating-point sums drift; an empty queue is the moment to drop the error.
  if (m_size == 0) m_work = 0;
  if (!queue.waiting.empty()) return;
  queue.work = 0;
  m_share.Deactivate(team);
}

double ClassQueue::WorkAhead(uint32_t team) const {
  // Requests of other teams are ahead only in proportion to the work of this team.
  const double own = team < m_teams.size() ? m_teams[team].work : 0;
  return std::clamp(own / m_share.Share(team), 0.0, m_work);
}

}  // namespace citronferry::dispatch
