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

/// Reads what a feed is about as a whole, then follows its changes, and reads it as a whole again
/// when the store has lost the history. Logs when the store is lost and regained.
/// @tparam Changes what reading and following return; its member version tells where to continue.
template <typename Changes>
class ChangeFeed {
 public:
  using Task = QCoro::Task<RetVal<Changes>>;
  using ReadFunction = std::function<Task()>;
  using FollowFunction = std::function<Task(int64_t after)>;

  /// @param name of the feed in the log.
  /// @param backoff after errors.
  ChangeFeed(std::string name, ReadFunction read, FollowFunction follow,
             Backoff backoff = Backoff(kInitialRetryDelay, kMaxRetryDelay))
      : m_name(std::move(name)),
        m_read(std::move(read)),
        m_follow(std::move(follow)),
        m_backoff(backoff) {}

  /// @return the next changes, or the error, after which the caller waits for retry_delay().
  Task Next() {
    m_is_snapshot = m_snapshot_next;
    if (m_is_snapshot) {
      RetVal<Changes> changes = co_await m_read();
      co_return UpdateState(std::move(changes));
    }
    RetVal<Changes> changes = co_await m_follow(m_version);
    co_return UpdateState(std::move(changes));
  }

  /// @return whether the last changes are all that there is, instead of what is new.
  bool is_snapshot() const { return m_is_snapshot; }
  /// @return a growing delay.
  Duration retry_delay() { return m_backoff.Next(); }
  /// Reads as a whole next, after a time in which nobody followed.
  void Restart() { m_snapshot_next = true; }
  /// Follows from a version that was read elsewhere.
  void StartAt(int64_t version) {
    m_version = version;
    m_snapshot_next = false;
  }

 private:
  // Half a second is well below the time in which a configuration must be in force.
  static constexpr Duration kInitialRetryDelay = 50ms;
  static constexpr Duration kMaxRetryDelay = 500ms;

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
  bool m_lost = false;
  int64_t m_version = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_CHANGE_FEED_H_
