#ifndef CITRONFERRY_SUPERVISION_TIMER_QUEUE_H_
#define CITRONFERRY_SUPERVISION_TIMER_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "supervision/timer_service.h"

namespace citronferry {

/// Delay of a timer beyond which the process is assumed to have been paused.
inline constexpr Duration kPauseThreshold = 500ms;

/// Pending timers ordered by due time, with the pause listeners. Both timer services use it.
class TimerQueue {
 public:
  /// @param period interval of a repeating timer, or zero for one that fires once.
  Subscription Add(TimePoint due, Duration period, std::function<void()> callback);
  Subscription AddPauseListener(std::function<void(Duration)> callback);
  /// Runs every callback that is due. If the earliest is later than kPauseThreshold, runs the pause
  /// listeners first.
  void RunDue(TimePoint now);
  /// @return the due time of the earliest subscribed timer, or nothing if there is none.
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

/// Timer service with simulated time, for tests and replays.
class ManualTimerService : public TimerService {
 public:
  TimePoint Now() const override { return m_now; }
  Subscription Subscribe(Duration period, std::function<void()> callback) override;
  Subscription SubscribeOnce(Duration delay, std::function<void()> callback) override;
  Subscription SubscribeToPauses(std::function<void(Duration)> callback) override;

  /// Advances the time and runs each callback at its due time.
  void Advance(Duration duration);
  /// Advances the time in one step, as a pause of the process does, and runs what is due then.
  void Pause(Duration duration);

 private:
  TimePoint m_now{};
  TimerQueue m_queue;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_TIMER_QUEUE_H_
