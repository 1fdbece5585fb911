#include "decisions/scheduling/step_tickets.h"

#include <algorithm>

namespace citronferry::scheduling {

void StepTickets::OnResponse(std::span<const AdviceCandidate> asked,
                             const std::map<ExecutorId, std::string>& tickets,
                             TimePoint valid_until, TimePoint now) {
  for (const AdviceCandidate& candidate : asked) {
    const auto ticket = tickets.find(candidate.executor);
    if (ticket == tickets.end()) {
      m_refused.insert(candidate.incarnation_number);
    } else {
      m_allowed[candidate.incarnation_number] = {.value = ticket->second,
                                                 .valid_until = valid_until};
    }
  }
  m_requested = false;
  m_last_call_at = now;
}

void StepTickets::OnFailure(TimePoint now) {
  m_requested = false;
  m_last_call_at = now;
}

void StepTickets::Invalidate(int64_t incarnation_number) {
  const auto found = m_allowed.find(incarnation_number);
  if (found != m_allowed.end()) found->second.valid_until = {};
}

const std::string* StepTickets::Find(int64_t incarnation_number, TimePoint now) const {
  const auto found = m_allowed.find(incarnation_number);
  if (found == m_allowed.end() || found->second.valid_until <= now) return nullptr;
  return &found->second.value;
}

bool StepTickets::HasValid(TimePoint now) const {
  return std::any_of(m_allowed.begin(), m_allowed.end(),
                     [&](const auto& entry) { return entry.second.valid_until > now; });
}

}  // namespace citronferry::scheduling
