#ifndef CITRONFERRY_SUPERVISION_TIMER_SERVICE_H_
#define CITRONFERRY_SUPERVISION_TIMER_SERVICE_H_

#include <functional>
#include <memory>
#include <utility>

#include "base/time.h"

namespace citronferry {

/// Keeps a callback registered for as long as it lives.
class [[nodiscard]] Subscription {
 public:
  Subscription() = default;
  explicit Subscription(std::shared_ptr<void> registration)
      : m_registration(std::move(registration)) {}

 private:
  std::shared_ptr<void> m_registration;
};

/// Clock and timers of a process. All callbacks run on the event loop's thread.
class TimerService {
 public:
  virtual ~TimerService() = default;

  /// @return the time since boot, including time spent suspended.
  virtual TimePoint Now() const = 0;
  /// Runs a callback every period until the subscription ends.
  virtual Subscription Subscribe(Duration period, std::function<void()> callback) = 0;
  /// Runs a callback once after a delay unless the subscription ends first.
  virtual Subscription SubscribeOnce(Duration delay, std::function<void()> callback) = 0;
  /// Runs a callback when a timer fires so late that the process must have been paused. It runs
  /// before the timers that are due.
  /// @param callback receives the delay of the timer.
  virtual Subscription SubscribeToPauses(std::function<void(Duration)> callback) = 0;
};

/// Creates a timer service that runs on the Qt event loop with a single QTimer.
/// @note Needs a QCoreApplication.
std::unique_ptr<TimerService> MakeQtTimerService();

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_TIMER_SERVICE_H_
