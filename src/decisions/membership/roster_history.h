#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_ROSTER_HISTORY_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_ROSTER_HISTORY_H_

#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::membership {

/// Delay before a larger share is used; longer than the lag of the other entries' roster polls.
inline constexpr Duration kShareGrowthDelay = 3s;

/// Keeps the rosters from which other entries may still compute their shares.
///
/// An entry uses the smallest share that any of these rosters gives it. A share therefore shrinks
/// at once and grows only when every other entry has read the new roster.
class RosterHistory {
 public:
  /// @param roster all entries as read now; contains self once it is registered.
  /// @param self this entry.
  /// @param now monotonic time.
  void Observe(std::vector<EntryId> roster, const EntryId& self, TimePoint now);

  /// @return the current roster and those that were replaced less than kShareGrowthDelay ago;
  ///   empty before the first Observe().
  std::vector<std::vector<EntryId>> ActiveRosters(TimePoint now);

 private:
  struct PastRoster {
    std::vector<EntryId> roster;
    TimePoint replaced;
  };

  bool m_observed = false;
  std::vector<EntryId> m_current;
  std::vector<PastRoster> m_past;
};

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_ROSTER_HISTORY_H_
