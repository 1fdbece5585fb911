#include "decisions/membership/roster_history.h"

#include <algorithm>
#include <utility>

namespace citronferry::membership {

void RosterHistory::Observe(std::vector<EntryId> roster, const EntryId& self, TimePoint now) {
  std::sort(roster.begin(), roster.end());
  if (m_observed && roster == m_current) return;
  // An entry whose first roster contains only itself may use its share at once: entries that
  // register later see its row and wait.
  const bool first_alone = !m_observed && roster == std::vector<EntryId>{self};
  if (!first_alone) {
    m_past.push_back({.roster = std::exchange(m_current, {}), .replaced = now});
  }
  m_observed = true;
  m_current = std::move(roster);
}

std::vector<std::vector<EntryId>> RosterHistory::ActiveRosters(TimePoint now) {
  std::erase_if(m_past,
                [now](const PastRoster& past) { return now - past.replaced >= kShareGrowthDelay; });
  std::vector<std::vector<EntryId>> rosters;
  if (!m_observed) return rosters;
  rosters.push_back(m_current);
  for (const PastRoster& past : m_past) rosters.push_back(past.roster);
  return rosters;
}

}  // namespace citronferry::membership
