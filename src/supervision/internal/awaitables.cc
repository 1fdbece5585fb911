#include "supervision/awaitables.h"

#include <QCoreApplication>
#include <QMetaObject>

namespace citronferry {
namespace {

// Every sleep subscribes, and a scan of all entries at each subscription would cost more than the
// sleep itself. The list is therefore pruned only when it has doubled since the last scan.
constexpr size_t kMinPruneSize = 16;

}  // namespace

void ResumeFromEventLoop(std::coroutine_handle<> handle) {
  QMetaObject::invokeMethod(
      QCoreApplication::instance(), [handle] { handle.resume(); }, Qt::QueuedConnection);
}

void StopSignal::Request() {
  if (std::exchange(m_requested, true)) return;
  const auto callbacks = std::exchange(m_callbacks, {});
  for (const auto& weak : callbacks) {
    if (const auto callback = weak.lock()) (*callback)();
  }
}

Subscription StopSignal::Subscribe(std::function<void()> callback) {
  if (m_requested) {
    callback();
    return {};
  }
  if (m_callbacks.size() >= m_prune_at) {
    std::erase_if(m_callbacks, [](const auto& weak) { return weak.expired(); });
    m_prune_at = 2 * m_callbacks.size() + kMinPruneSize;
  }
  auto shared = std::make_shared<std::function<void()>>(std::move(callback));
  m_callbacks.push_back(shared);
  return Subscription(std::move(shared));
}

void SleepAwaiter::await_suspend(std::coroutine_handle<> waiter) {
  m_waiter = waiter;
  const auto wake = [this] {
    if (m_waiter) ResumeFromEventLoop(std::exchange(m_waiter, nullptr));
  };
  m_timer = m_timers.SubscribeOnce(m_duration, wake);
  if (m_stop) m_stop_subscription = m_stop->Subscribe(wake);
}

bool SleepAwaiter::await_resume() {
  m_timer = {};
  m_stop_subscription = {};
  return !(m_stop && m_stop->requested());
}

}  // namespace citronferry
