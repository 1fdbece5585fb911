#ifndef CITRONFERRY_FLEET_CHANGE_FEED_H_
#define CITRONFERRY_FLEET_CHANGE_FEED_H_

#include <qcoro/qcorotask.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/ret.h"
#include "base/time.h"
#include "fleet/backoff.h"
#include "telemetry/log.h"

namespace citronferry::fleet {

/// Follows rows of the store: reads a snapshot, then the changes after its version, and a new
/// snapshot when the store no longer has the history after that version. Logs when the store
/// becomes unavailable and when it answers again.
/// @tparam Changes result of both kinds of reads; its member version is the one to continue from.
template <typename Changes>
class ChangeFeed {
 public:
  using Task = QCoro::Task<RetVal<Changes>>;
  using ReadFunction = std::function<Task()>;
  using FollowFunction = std::function<Task(int64_t after)>;

  /// @param name of the feed in log records.
  /// @param read reads a snapshot.
  /// @param follow waits for the changes after a version.
  /// @param backoff delays between attempts after an error.
  ChangeFeed(std::string name, ReadFunction read, FollowFunction follow,
             Backoff backoff = Backoff(kInitialRetryDelay, kMaxRetryDelay))
      : m_name(std::move(name)),
        m_read(std::move(read)),
        m_follow(std::move(follow)),
        m_backoff(backoff) {}

  /// Reads a snapshot, or waits for changes.
  /// @return what was read, or an error, after which the caller waits for retry_delay().
  Task Next() {
    m_is_snapshot = m_snapshot_next;
    if (m_is_snapshot) {
      RetVal<Changes> changes = co_await m_read();
      co_return UpdateState(std::move(changes));
    }
    RetVal<Changes> changes = co_await m_follow(m_version);
    co_return UpdateState(std::move(changes));
  }

  /// @return whether the last result is a snapshot rather than changes since the previous one.
  bool is_snapshot() const { return m_is_snapshot; }
  /// @return the version up to which all changes have been read.
  int64_t version() const { return m_version; }
  /// @return the delay before the next attempt; grows with each error in a row.
  Duration retry_delay() { return m_backoff.Next(); }
  /// Makes the next read a snapshot, after a period in which the changes were not followed.
  void Restart() { m_snapshot_next = true; }
  /// Continues from a version that was read without this feed.
  void StartAt(int64_t version) {
    m_version = version;
    m_snapshot_next = false;
  }

 private:
  // Well below the two seconds within which a new configuration has to be in force.
  static constexpr Duration kInitialRetryDelay = 50ms;
  static constexpr Duration kMaxRetryDelay = 500ms;

  /// Advances the version after a success, and logs when the store fails or answers again.
  RetVal<Changes> UpdateState(RetVal<Changes> changes) {
    if (changes.ok()) {
      if (std::exchange(m_lost, false)) Log(LogLevel::kInfo, "store_regained", {{"feed", m_name}});
      m_backoff.Reset();
      m_version = changes->version;
      m_snapshot_next = false;
      return changes;
    }
    if (changes.code() == ErrorCode::kNotFound && !m_is_snapshot) {
      Log(LogLevel::kWarning, "feed_history_lost", {{"feed", m_name}, {"version", m_version}});
      m_snapshot_next = true;
    } else if (!std::exchange(m_lost, true)) {
      Log(LogLevel::kWarning, "store_lost", {{"feed", m_name}, {"error", changes.ret().message()}});
    }
    return changes;
  }

  std::string m_name;
  ReadFunction m_read;
  FollowFunction m_follow;
  Backoff m_backoff;
  bool m_snapshot_next = true;
  bool m_is_snapshot = false;
  bool m_lost = false;  // The store did not answer the last read.
  int64_t m_version = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_CHANGE_FEED_H_
