#ifndef CITRONFERRY_SUPERVISION_TIMER_QUEUE_H_
#define CITRONFERRY_SUPERVISION_TIMER_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "supervision/timer_service.h"

namespace citronferry {

/// A timer that fires this late means that the process was paused.
inline constexpr Duration kPauseThreshold = 500ms;

/// Ordered set of pending timers, shared by the real and the manual timer service.
class TimerQueue {
 public:
  Subscription Add(TimePoint due, Duration period, std::function<void()> callback);
  Subscription AddPauseListener(std::function<void(Duration)> callback);
  /// Runs every callback that is due, pause listeners first when the first one is late.
  void RunDue(TimePoint now);
  /// @return when the next live timer is due, or nothing if there is none.
  std::optional<TimePoint> NextDue();

 private:
  struct Timer {
    Duration period{};  // Zero for a timer that fires once.
    std::function<void()> callback;
  };
  using PauseListener = std::function<void(Duration)>;

  void NotifyPause(Duration late);

  std::multimap<TimePoint, std::weak_ptr<Timer>> m_timers;
  std::vector<std::weak_ptr<PauseListener>> m_pause_listeners;
};

/// Timer service with virtual time for tests and replays.
class ManualTimerService : public TimerService {
 public:
  TimePoint Now() const override { return m_now; }
  Subscription Subscribe(Duration period, std::function<void()> callback) override;
  Subscription SubscribeOnce(Duration delay, std::function<void()> callback) override;
  Subscription SubscribeToPauses(std::function<void(Duration)> callback) override;

  /// Moves time forward and runs each callback at its due time.
  void Advance(Duration duration);
  /// Moves time forward in one step, as after a pause of the process.
  void Pause(Duration duration);

 private:
  TimePoint m_now{};
  TimerQueue m_queue;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_TIMER_QUEUE_H_
