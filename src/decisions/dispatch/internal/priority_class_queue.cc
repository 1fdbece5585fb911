#include "decisions/dispatch/internal/priority_class_queue.h"

#include <algorithm>

#include "decisions/dispatch/internal/state.h"

namespace citronferry::dispatch {

void PriorityClassQueue::Push(RequestRecord& record) {
  const uint32_t team = record.team->index;
  if (team >= m_teams.size()) m_teams.resize(team + 1);
  TeamQueue& queue = m_teams[team];
  m_share.SetWeight(team, record.team->weight);
  if (queue.waiting.empty() && !queue.held) m_share.Activate(team);
  queue.waiting.PushBack(record);
  queue.work += record.work;
  if (!queue.held) m_work += record.work;
  ++m_size;
}

void PriorityClassQueue::Remove(RequestRecord& record) {
  const uint32_t team = record.team->index;
  TeamQueue& queue = m_teams[team];
  queue.waiting.Remove(record);
  --m_size;
  queue.work -= record.work;
  if (!queue.held) m_work -= record.work;
  if (queue.waiting.empty()) {
    queue.work = 0;
    m_share.Deactivate(team);
  }
  // Floating-point sums accumulate rounding errors, which are discarded when the queue is empty.
  if (!m_share.HasActive()) m_work = 0;
}

void PriorityClassQueue::Hold(uint32_t team) {
  TeamQueue& queue = m_teams[team];
  queue.held = true;
  m_share.Deactivate(team);
  m_work = m_share.HasActive() ? m_work - queue.work : 0;
}

void PriorityClassQueue::Resume(uint32_t team) {
  TeamQueue& queue = m_teams[team];
  queue.held = false;
  if (queue.waiting.empty()) return;
  m_share.Activate(team);
  m_work += queue.work;
}

double PriorityClassQueue::WorkAhead(uint32_t team) const {
  // Other teams are served in between according to their shares, so their requests count only in
  // proportion to the work of this team.
  const TeamQueue empty_queue;
  const TeamQueue& queue = team < m_teams.size() ? m_teams[team] : empty_queue;
  const double total = m_work + (queue.held ? queue.work : 0);
  return std::clamp(queue.work / m_share.Share(team), 0.0, total);
}

}  // namespace citronferry::dispatch
