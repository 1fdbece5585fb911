#ifndef CITRONFERRY_SUPERVISION_TESTING_EVENT_LOOP_H_
#define CITRONFERRY_SUPERVISION_TESTING_EVENT_LOOP_H_

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QThread>

namespace citronferry {

/// @return the application object that Qt's event loop needs, created on first use.
inline QCoreApplication& TestApplication() {
  static int argc = 1;
  static char name[] = "test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication application(argc, argv);
  return application;
}

/// Runs the event loop until a condition holds.
/// @return false when it does not hold within 10 s.
template <typename Predicate>
bool ProcessEventsUntil(Predicate predicate) {
  constexpr qint64 kTimeoutMs = 10000;
  QElapsedTimer elapsed;
  elapsed.start();
  while (!predicate()) {
    if (elapsed.elapsed() > kTimeoutMs) return false;
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    QThread::usleep(200);
  }
  return true;
}

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_TESTING_EVENT_LOOP_H_
