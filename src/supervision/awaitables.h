#ifndef CITRONFERRY_SUPERVISION_AWAITABLES_H_
#define CITRONFERRY_SUPERVISION_AWAITABLES_H_

#include <cassert>
#include <coroutine>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "supervision/timer_service.h"

namespace citronferry {

/// Queues the resumption of a suspended coroutine on the event loop, so that a producer never runs
/// consumer code on its own stack.
void ResumeFromEventLoop(std::coroutine_handle<> handle);

/// Stop request that tasks can observe. It cannot be withdrawn.
class StopSignal {
 public:
  bool requested() const { return m_requested; }
  /// Requests the stop and runs the subscribed callbacks; later calls have no effect.
  void Request();
  /// @param callback runs when the stop is requested, immediately if it already is.
  /// @return the subscription, which ends when it is destroyed.
  [[nodiscard]] Subscription Subscribe(std::function<void()> callback);

 private:
  bool m_requested = false;
  std::vector<std::weak_ptr<std::function<void()>>> m_callbacks;
  size_t m_prune_at = 0;  // Number of entries at which ended subscriptions are removed.
};

/// Value that is set once and awaited by one coroutine, similar to a future.
/// @note The object must outlive the coroutine that awaits it.
template <typename T>
class OneShot {
 public:
  // QCoro copies awaitable lvalues, so the awaiter is a separate object that points to this one.
  class Awaiter {
   public:
    explicit Awaiter(OneShot* one_shot) : m_one_shot(one_shot) {}
    bool await_ready() const noexcept { return m_one_shot->m_value.has_value(); }
    void await_suspend(std::coroutine_handle<> waiter) noexcept {
      assert(!m_one_shot->m_waiter);
      m_one_shot->m_waiter = waiter;
    }
    T await_resume() { return std::move(*m_one_shot->m_value); }

   private:
    OneShot* m_one_shot;
  };

  OneShot() = default;
  OneShot(const OneShot&) = delete;
  OneShot& operator=(const OneShot&) = delete;

  /// Sets the value; later values are ignored.
  void Set(T value) {
    if (m_value) return;
    m_value = std::move(value);
    if (m_waiter) ResumeFromEventLoop(std::exchange(m_waiter, nullptr));
  }
  bool is_set() const { return m_value.has_value(); }
  /// Awaits the value, which is moved out.
  Awaiter Wait() { return Awaiter(this); }

 private:
  std::optional<T> m_value;
  std::coroutine_handle<> m_waiter;
};

/// Unbounded queue from event handlers to a single coroutine that reads it.
/// @note The mailbox must outlive the coroutine that awaits it.
template <typename T>
class Mailbox {
 public:
  Mailbox() = default;
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Awaits the next item. Yields nothing on timeout, or when the mailbox is closed and empty.
  class NextAwaiter {
   public:
    explicit NextAwaiter(Mailbox* mailbox) : m_mailbox(mailbox) {}
    NextAwaiter(Mailbox* mailbox, TimerService* timers, Duration timeout)
        : m_mailbox(mailbox), m_timers(timers), m_timeout(timeout) {}

    bool await_ready() const noexcept { return !m_mailbox->m_items.empty() || m_mailbox->m_closed; }
    void await_suspend(std::coroutine_handle<> waiter) {
      assert(!m_mailbox->m_waiter);
      m_mailbox->m_waiter = waiter;
      if (!m_timers) return;
      m_subscription =
          m_timers->SubscribeOnce(m_timeout, [mailbox = m_mailbox] { mailbox->Wake(); });
    }
    std::optional<T> await_resume() {
      m_subscription = {};
      if (m_mailbox->m_items.empty()) return std::nullopt;
      std::optional<T> item(std::move(m_mailbox->m_items.front()));
      m_mailbox->m_items.pop_front();
      return item;
    }

   private:
    Mailbox* m_mailbox;
    TimerService* m_timers = nullptr;
    Duration m_timeout{};
    Subscription m_subscription;
  };

  /// Appends an item; items pushed after Close are dropped.
  void Push(T item) {
    if (m_closed) return;
    m_items.push_back(std::move(item));
    Wake();
  }
  /// Ends the stream; the reader still receives the items that are queued.
  void Close() {
    m_closed = true;
    Wake();
  }
  bool closed() const { return m_closed; }
  size_t size() const { return m_items.size(); }

  NextAwaiter Next() { return NextAwaiter(this); }
  /// @param timeout maximum wait; a timeout yields nothing and does not close the mailbox.
  NextAwaiter Next(TimerService& timers, Duration timeout) {
    return NextAwaiter(this, &timers, timeout);
  }

 private:
  void Wake() {
    if (m_waiter) ResumeFromEventLoop(std::exchange(m_waiter, nullptr));
  }

  std::deque<T> m_items;
  bool m_closed = false;
  std::coroutine_handle<> m_waiter;
};

/// Suspends a coroutine for a duration, or until a stop is requested.
class SleepAwaiter {
 public:
  SleepAwaiter(TimerService& timers, Duration duration, StopSignal* stop)
      : m_timers(timers), m_duration(duration), m_stop(stop) {}

  bool await_ready() const noexcept { return m_stop && m_stop->requested(); }
  void await_suspend(std::coroutine_handle<> waiter);
  /// @return false when the sleep ended early because a stop was requested.
  bool await_resume();

 private:
  TimerService& m_timers;
  Duration m_duration;
  StopSignal* m_stop;
  std::coroutine_handle<> m_waiter;
  Subscription m_timer;
  Subscription m_stop_subscription;
};

/// Sleeps in a coroutine: `co_await SleepFor(timers, 1s, &stop)`.
/// @param stop optional; a requested stop ends the sleep early.
/// @return an awaitable that yields false when the sleep ended because of a stop.
inline SleepAwaiter SleepFor(TimerService& timers, Duration duration, StopSignal* stop = nullptr) {
  return {timers, duration, stop};
}

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_AWAITABLES_H_
