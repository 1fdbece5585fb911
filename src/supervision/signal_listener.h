#ifndef CITRONFERRY_SUPERVISION_SIGNAL_LISTENER_H_
#define CITRONFERRY_SUPERVISION_SIGNAL_LISTENER_H_

#include <QSocketNotifier>
#include <functional>
#include <initializer_list>
#include <memory>

namespace citronferry {

/// Blocks the normal delivery of signals and delivers them to the event loop instead.
class SignalListener {
 public:
  /// @param signals signal numbers, such as SIGTERM.
  /// @param callback receives each signal's number, on the event loop's thread.
  SignalListener(std::initializer_list<int> signals, std::function<void(int)> callback);
  ~SignalListener();

 private:
  int m_descriptor = -1;
  std::unique_ptr<QSocketNotifier> m_notifier;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_SIGNAL_LISTENER_H_
