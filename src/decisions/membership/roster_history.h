#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_ROSTER_HISTORY_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_ROSTER_HISTORY_H_

#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::membership {

/// A growing share is applied after this time, which is longer than the lag of the roster's polls.
inline constexpr Duration kShareGrowthDelay = 3s;

/// Remembers the rosters that other entries may still go by.
///
/// An entry uses the smallest share that any of these rosters gives it, so that a share shrinks at
/// once and grows only when every other entry has seen the change.
class RosterHistory {
 public:
  /// @param roster entries as read now, self included once it is registered.
  void Observe(std::vector<EntryId> roster, const EntryId& self, TimePoint now);

  /// @return the current roster and those that were replaced less than kShareGrowthDelay ago;
  ///   empty before the first one.
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
