#include "decisions/membership/absence_tracker.h"

#include <algorithm>

namespace citronferry::membership {

void AbsenceTracker::Observe(const std::vector<EntryId>& roster, const std::set<EntryId>& listed,
                             TimePoint now) {
  m_observed = now;
  std::erase_if(m_absent_since, [&](const auto& item) {
    return listed.empty() || listed.contains(item.first) ||
           std::find(roster.begin(), roster.end(), item.first) == roster.end();
  });
  if (listed.empty()) return;
  for (const EntryId& entry : roster) {
    if (!listed.contains(entry)) m_absent_since.try_emplace(entry, now);
  }
}

std::set<EntryId> AbsenceTracker::GoneEntries() const {
  std::set<EntryId> gone;
  for (const auto& [entry, since] : m_absent_since) {
    // Counted up to the last list: time without a list is no evidence of absence.
    if (m_observed - since >= kAbsenceTimeout) gone.insert(entry);
  }
  return gone;
}

}  // namespace citronferry::membership
