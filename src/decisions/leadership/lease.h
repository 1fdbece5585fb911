#ifndef CITRONFERRY_DECISIONS_LEADERSHIP_LEASE_H_
#define CITRONFERRY_DECISIONS_LEADERSHIP_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace citronferry::leadership {

/// Content of the lease row.
struct LeaseRow {
  std::string holder;  ///< Unique to one start of one process.
  uint64_t epoch = 0;  ///< Grows with each change of the holder.
  uint64_t write_number =
      0;  ///< Number of the holder's write; identifies a write whose answer was lost.

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

struct LeaseOptions {
  std::string holder;
  Duration duration = 10s;
  Duration renew_period = 3s;
  Duration margin = 2s;       ///< Acting stops this long before the lease ends.
  Duration poll_period = 1s;  ///< How often a candidate reads the row.
};

// Events.

/// Time passed.
struct Tick {};
/// The row was read; nothing when it does not exist.
struct RowRead {
  std::optional<LeaseRow> row;
  uint64_t version = 0;
};
struct ReadFailed {};
struct WriteSucceeded {
  uint64_t write_number = 0;  ///< Which write.
  uint64_t version = 0;
};
/// The write lost against another writer, or its outcome is unknown. The row has to be read.
struct WriteUnconfirmed {};
/// The process did not run for a while.
struct Paused {};
/// A row that only planners write carries a higher epoch than this holder's.
struct HigherEpochSeen {
  uint64_t epoch = 0;
};

using Event = std::variant<Tick, RowRead, ReadFailed, WriteSucceeded, WriteUnconfirmed, Paused,
                           HigherEpochSeen>;

// Actions.

struct ReadRow {};
struct WriteRow {
  LeaseRow row;
  std::optional<uint64_t> expected_version;  ///< Nothing: the row must not exist.
};

using Action = std::variant<ReadRow, WriteRow>;

/// Takes, renews and gives up the planner lease. At most one call is outstanding at a time.
class Lease {
 public:
  explicit Lease(LeaseOptions options) : m_options(std::move(options)) {}

  std::vector<Action> Handle(const Event& event, TimePoint now);

  /// @return whether the holder may act now. Check it immediately before each action.
  bool MayAct(TimePoint now) const { return m_valid_until && now < *m_valid_until; }
  /// @return whether a renewal is due, so that longer work has to make way for it.
  bool RenewalDue(TimePoint now) const { return now >= m_next_call; }
  /// @return the fencing epoch of the last lease held.
  uint64_t epoch() const { return m_epoch; }
  /// @return the last holder seen.
  const std::string& holder() const { return m_observed ? m_observed->holder : m_options.holder; }

 private:
  struct Attempt {
    LeaseRow row;
    TimePoint started;
    bool before_pause = false;
  };

  void OnTick(const Event& event);
  void OnRowRead(const Event& event);
  void OnReadFailed(const Event& event);
  void OnWriteSucceeded(const Event& event);
  void OnWriteUnconfirmed(const Event& event);
  void OnPaused(const Event& event);
  void OnHigherEpochSeen(const Event& event);

  bool IsOwn() const { return m_observed && m_observed->holder == m_options.holder; }
  void Write(uint64_t epoch);
  void Confirm(uint64_t version);
  void RequestRead();

  LeaseOptions m_options;
  std::optional<LeaseRow> m_observed;
  uint64_t m_version = 0;
  TimePoint m_unchanged_since{};
  std::optional<Attempt> m_attempt;
  std::optional<TimePoint> m_valid_until;
  TimePoint m_next_call{};
  bool m_call_pending = false;
  bool m_row_known = false;
  bool m_superseded = false;
  uint64_t m_epoch = 0;
  uint64_t m_epoch_floor = 0;
  uint64_t m_writes = 0;
  std::vector<Action> m_actions;
  TimePoint m_now{};
};

}  // namespace citronferry::leadership

#endif  // CITRONFERRY_DECISIONS_LEADERSHIP_LEASE_H_
