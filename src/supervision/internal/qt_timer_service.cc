#include <time.h>

#include <QTimer>
#include <algorithm>

#include "supervision/timer_queue.h"
#include "supervision/timer_service.h"

namespace citronferry {
namespace {

class QtTimerService : public TimerService {
 public:
  QtTimerService() {
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
      m_queue.RunDue(Now());
      Arm();
    });
  }

  TimePoint Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                          std::chrono::nanoseconds(now.tv_nsec)));
  }

  Subscription Subscribe(Duration period, std::function<void()> callback) override {
    return Add(period, period, std::move(callback));
  }

  Subscription SubscribeOnce(Duration delay, std::function<void()> callback) override {
    return Add(delay, Duration::zero(), std::move(callback));
  }

  Subscription SubscribeToPauses(std::function<void(Duration)> callback) override {
    return m_queue.AddPauseListener(std::move(callback));
  }

 private:
  Subscription Add(Duration delay, Duration period, std::function<void()> callback) {
    Subscription subscription = m_queue.Add(Now() + delay, period, std::move(callback));
    Arm();
    return subscription;
  }

  void Arm() {
    const auto due = m_queue.NextDue();
    if (!due) {
      m_timer.stop();
      return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*due - Now());
    m_timer.start(std::max(wait, std::chrono::milliseconds(0)));
  }

  QTimer m_timer;
  TimerQueue m_queue;
};

}  // namespace

std::unique_ptr<TimerService> MakeQtTimerService() { return std::make_unique<QtTimerService>(); }

}  // namespace citronferry
