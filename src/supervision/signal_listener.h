#ifndef CITRONFERRY_SUPERVISION_SIGNAL_LISTENER_H_
#define CITRONFERRY_SUPERVISION_SIGNAL_LISTENER_H_

#include <QSocketNotifier>
#include <functional>
#include <initializer_list>
#include <memory>

namespace citronferry {

/// Delivers signals of the process to the event loop.
class SignalListener {
 public:
  /// @param signals numbers of the signals, such as SIGTERM.
  /// @param callback receives the number of each signal.
  SignalListener(std::initializer_list<int> signals, std::function<void(int)> callback);
  ~SignalListener();

 private:
  int m_descriptor = -1;
  std::unique_ptr<QSocketNotifier> m_notifier;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_SIGNAL_LISTENER_H_
