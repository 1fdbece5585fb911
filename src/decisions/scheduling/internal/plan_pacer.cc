#include "decisions/scheduling/plan_pacer.h"

#include <algorithm>

namespace citronferry::scheduling {

void PlanPacer::OnPlanned(TimePoint began, TimePoint ended) {
  const Duration spaced = FromSeconds(ToSeconds(ended - began) / kShare);
  m_next_at = began + std::max(m_min_interval, std::min(spaced, kMaxInterval));
}

}  // namespace citronferry::scheduling
