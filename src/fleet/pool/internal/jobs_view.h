#ifndef CITRONFERRY_FLEET_POOL_INTERNAL_JOBS_VIEW_H_
#define CITRONFERRY_FLEET_POOL_INTERNAL_JOBS_VIEW_H_

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace citronferry::fleet {

/// Knows how old an owner's view of the submitted jobs is. The store numbers all transactions in
/// their order, so once the feed of the jobs has passed a commit of the owner, the owner has read
/// every job that was accepted before this commit, however far behind the feed is.
class JobsView {
 public:
  /// Records that the jobs have been read from the table.
  /// @param clock_ms the store's clock when reading began; 0 if it is not known.
  void OnLoaded(int64_t clock_ms, TimePoint now);
  /// Records a commit of the owner.
  /// @param version of the commit.
  /// @param clock_ms the store's clock in the response; 0 if it is not known.
  /// @param sent_at when the commit was sent. All changes that were acknowledged before then have a
  ///   lower version.
  void OnCommitted(int64_t version, int64_t clock_ms, TimePoint sent_at);
  /// Records that the feed of the jobs has been read up to a version.
  void OnRead(int64_t version);

  /// @return the store's clock at a time up to which all accepted jobs are known; 0 if that is not
  ///   known.
  int64_t clock_ms() const { return m_complete.clock_ms; }
  /// @return that time or an earlier one, on the clock of this process.
  TimePoint complete_at() const { return m_complete.at; }

 private:
  struct Moment {
    int64_t version = 0;
    int64_t clock_ms = 0;
    TimePoint at{};
  };

  Moment m_complete;
  std::deque<Moment> m_unread;  // Commits that the feed has not passed.
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_POOL_INTERNAL_JOBS_VIEW_H_
