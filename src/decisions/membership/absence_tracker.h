#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_ABSENCE_TRACKER_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_ABSENCE_TRACKER_H_

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::membership {

/// An entry that has been absent from the platform's list for this long is gone.
inline constexpr Duration kAbsenceTimeout = 10s;

/// Decides which entries of the roster the platform no longer runs. Failed reads of the list do not
/// count: an entry is gone only after it was absent from every list over kAbsenceTimeout.
class AbsenceTracker {
 public:
  /// Takes in one successful read of the platform's list.
  /// @param roster every entry that has a row.
  /// @param listed entries in the platform's list. An empty list is taken for a platform that does
  ///   not list entries, so no entry is absent.
  /// @param now monotonic time.
  void Observe(const std::vector<EntryId>& roster, const std::set<EntryId>& listed, TimePoint now);

  /// @return entries absent from every list of the last kAbsenceTimeout.
  std::set<EntryId> GoneEntries() const;
  /// @return whether any entry is absent from the last list.
  bool any_absent() const { return !m_absent_since.empty(); }

 private:
  std::map<EntryId, TimePoint> m_absent_since;
  TimePoint m_observed;
};

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_ABSENCE_TRACKER_H_
