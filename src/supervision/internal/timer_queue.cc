#include "supervision/timer_queue.h"

#include <utility>

namespace citronferry {

Subscription TimerQueue::Add(TimePoint due, Duration period, std::function<void()> callback) {
  auto timer = std::make_shared<Timer>(Timer{.period = period, .callback = std::move(callback)});
  m_timers.emplace(due, timer);
  return Subscription(std::move(timer));
}

Subscription TimerQueue::AddPauseListener(std::function<void(Duration)> callback) {
  auto listener = std::make_shared<PauseListener>(std::move(callback));
  m_pause_listeners.push_back(listener);
  return Subscription(std::move(listener));
}

void TimerQueue::RunDue(TimePoint now) {
  const std::optional<TimePoint> first_due = NextDue();
  if (first_due && now - *first_due > kPauseThreshold) NotifyPause(now - *first_due);

  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    auto node = m_timers.extract(m_timers.begin());
    const std::shared_ptr<Timer> timer = node.mapped().lock();
    if (!timer) continue;
    if (timer->period > Duration::zero()) m_timers.emplace(now + timer->period, timer);
    timer->callback();
  }
}

std::optional<TimePoint> TimerQueue::NextDue() {
  while (!m_timers.empty() && m_timers.begin()->second.expired()) m_timers.erase(m_timers.begin());
  if (m_timers.empty()) return std::nullopt;
  return m_timers.begin()->first;
}

void TimerQueue::NotifyPause(Duration late) {
  std::erase_if(m_pause_listeners, [](const auto& weak) { return weak.expired(); });
  const auto listeners = m_pause_listeners;
  for (const auto& weak : listeners) {
    if (const auto listener = weak.lock()) (*listener)(late);
  }
}

Subscription ManualTimerService::Subscribe(Duration period, std::function<void()> callback) {
  return m_queue.Add(m_now + period, period, std::move(callback));
}

Subscription ManualTimerService::SubscribeOnce(Duration delay, std::function<void()> callback) {
  return m_queue.Add(m_now + delay, Duration::zero(), std::move(callback));
}

Subscription ManualTimerService::SubscribeToPauses(std::function<void(Duration)> callback) {
  return m_queue.AddPauseListener(std::move(callback));
}

void ManualTimerService::Advance(Duration duration) {
  const TimePoint end = m_now + duration;
  for (auto due = m_queue.NextDue(); due && *due <= end; due = m_queue.NextDue()) {
    m_now = std::max(m_now, *due);
    m_queue.RunDue(m_now);
  }
  m_now = end;
}

void ManualTimerService::Pause(Duration duration) {
  m_now += duration;
  m_queue.RunDue(m_now);
}

}  // namespace citronferry
