#ifndef CITRONFERRY_DECISIONS_LEADERSHIP_LEASE_H_
#define CITRONFERRY_DECISIONS_LEADERSHIP_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace citronferry::leadership {

/// Content of the planner's lease row.
struct LeaseRow {
  std::string holder;         ///< Identifies one run of one process.
  uint64_t epoch = 0;         ///< Grows with each change of the holder.
  uint64_t write_number = 0;  ///< Of the holder; identifies a write whose answer was lost.

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

/// Identity and times of one candidate for the lease.
struct LeaseOptions {
  std::string holder;          ///< Identifies this run of this process.
  Duration duration = 10s;     ///< A row that is unchanged for this long may be taken over.
  Duration renew_period = 3s;  ///< Time between the starts of two renewals.
  Duration margin = 2s;        ///< The holder stops acting this long before the lease ends.
  Duration poll_period = 1s;   ///< How often a candidate reads the row.
};

// Events.

/// Asks for the next call, if one is due.
struct Tick {};
/// The row was read; empty when it does not exist.
struct RowRead {
  std::optional<LeaseRow> row;
  uint64_t version = 0;
};
struct ReadFailed {};
struct WriteSucceeded {
  uint64_t write_number = 0;  ///< LeaseRow::write_number of the write.
  uint64_t version = 0;
};
/// The write failed against another writer or its outcome is unknown, so the row has to be read.
struct WriteUnconfirmed {};
/// The process was suspended for a while.
struct Paused {};
/// A row that only planners write carries a higher epoch than this holder's: another planner has
/// taken over.
struct HigherEpochSeen {
  uint64_t epoch = 0;
};

using Event = std::variant<Tick, RowRead, ReadFailed, WriteSucceeded, WriteUnconfirmed, Paused,
                           HigherEpochSeen>;

// Actions.

struct ReadRow {};
struct WriteRow {
  LeaseRow row;
  std::optional<uint64_t> expected_version;  ///< Empty: the row must not exist.
};

using Action = std::variant<ReadRow, WriteRow>;

/// Leader election among planners by a lease row in the table service.
///
/// The holder renews the row by conditional writes. A candidate takes the lease over when it has
/// seen the row unchanged for the duration of the lease, measured by its own clock, and raises the
/// epoch, which fences the writes of the previous holder. Only one call is outstanding at a time.
class Lease {
 public:
  explicit Lease(LeaseOptions options) : m_options(std::move(options)) {}

  /// @param event what happened.
  /// @param now monotonic time; it must not decrease between calls.
  /// @return at most one call to the table service; its outcome is passed in as an event.
  std::vector<Action> Handle(const Event& event, TimePoint now);

  /// @return whether this process holds the lease and may act on it. Check it right before each
  ///   action.
  bool MayAct(TimePoint now) const { return m_valid_until && now < *m_valid_until; }
  /// @return whether a renewal is due, so that longer work has to be interrupted for it.
  bool RenewalDue(TimePoint now) const { return now >= m_next_call; }
  /// @return the fencing epoch of the last lease held.
  uint64_t epoch() const { return m_epoch; }
  /// @return the holder that the row showed last; this process if there was no row.
  const std::string& holder() const { return m_observed ? m_observed->holder : m_options.holder; }

 private:
  struct Attempt {
    LeaseRow row;
    TimePoint started;
    bool before_pause = false;  // The process was suspended after the write was sent.
  };

  void OnTick(const Event& event);
  void OnRowRead(const Event& event);
  void OnReadFailed(const Event& event);
  void OnWriteSucceeded(const Event& event);
  void OnWriteUnconfirmed(const Event& event);
  void OnPaused(const Event& event);
  void OnHigherEpochSeen(const Event& event);

  /// @return whether the row shows this process as the holder.
  bool IsOwn() const { return m_observed && m_observed->holder == m_options.holder; }
  void Write(uint64_t epoch);
  void Confirm(uint64_t version);
  void RequestRead();

  LeaseOptions m_options;
  std::optional<LeaseRow> m_observed;  // As read or written last; empty without a row.
  uint64_t m_version = 0;              // Of the row.
  TimePoint m_unchanged_since{};
  std::optional<Attempt> m_attempt;  // Last write that is not confirmed.
  std::optional<TimePoint> m_valid_until;
  TimePoint m_next_call{};
  bool m_call_pending = false;
  bool m_row_known = false;
  bool m_superseded = false;  // A higher epoch was seen than that of the lease.
  uint64_t m_epoch = 0;
  uint64_t m_epoch_floor = 0;  // Highest epoch seen in other rows.
  uint64_t m_writes = 0;
  std::vector<Action> m_actions;
  TimePoint m_now{};
};

}  // namespace citronferry::leadership

#endif  // CITRONFERRY_DECISIONS_LEADERSHIP_LEASE_H_
