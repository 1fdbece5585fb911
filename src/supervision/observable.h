#ifndef CITRONFERRY_SUPERVISION_OBSERVABLE_H_
#define CITRONFERRY_SUPERVISION_OBSERVABLE_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "supervision/timer_service.h"

namespace citronferry {

/// Value whose subscribers are notified when its owner sets it.
template <typename T>
class Observable {
 public:
  using Callback = std::function<void(const T&)>;

  Observable() = default;
  explicit Observable(T value) : m_value(std::move(value)) {}
  Observable(const Observable&) = delete;
  Observable& operator=(const Observable&) = delete;

  const T& Get() const { return m_value; }

  void Set(T value) {
    m_value = std::move(value);
    std::erase_if(m_callbacks, [](const auto& weak) { return weak.expired(); });
    const auto callbacks = m_callbacks;
    for (const auto& weak : callbacks) {
      if (const auto callback = weak.lock()) (*callback)(m_value);
    }
  }

  /// Replaces the value without notifying the subscribers, for a change that concerns none of them.
  void SetWithoutNotifying(T value) { m_value = std::move(value); }

  /// @param callback runs after each Set for as long as the subscription lives.
  [[nodiscard]] Subscription Subscribe(Callback callback) {
    auto shared = std::make_shared<Callback>(std::move(callback));
    m_callbacks.push_back(shared);
    return Subscription(std::move(shared));
  }

 private:
  T m_value{};
  std::vector<std::weak_ptr<Callback>> m_callbacks;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_OBSERVABLE_H_
