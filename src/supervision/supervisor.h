#ifndef CITRONFERRY_SUPERVISION_SUPERVISOR_H_
#define CITRONFERRY_SUPERVISION_SUPERVISOR_H_

#include <qcoro/qcorotask.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ret.h"
#include "supervision/awaitables.h"

namespace citronferry {

/// Long-running component of a process that a supervisor starts, monitors and stops.
class Service {
 public:
  virtual ~Service() = default;

  /// Runs until Stop is called or the service fails.
  /// @return success after a requested stop, otherwise the reason of the failure. A return without
  ///   a requested stop counts as a failure in any case.
  virtual QCoro::Task<Ret> Run() = 0;
  /// Requests that Run returns. It may be called before Run and more than once.
  virtual void Stop() = 0;
};

/// Which children a supervisor restarts when one of them fails.
enum class RestartStrategy {
  kOneForOne,   ///< Restarts the failed child.
  kRestForOne,  ///< Restarts the failed child and those started after it.
};

/// How to create a child of a supervisor.
struct ChildSpec {
  std::string name;                                   ///< Used in logs and errors.
  std::function<std::unique_ptr<Service>()> factory;  ///< Called at each start of the child.
};

struct SupervisorOptions {
  std::string name;  ///< Used in logs.
  RestartStrategy strategy = RestartStrategy::kOneForOne;
  int max_restarts = 5;  ///< Restarts allowed within restart_window.
  Duration restart_window = 60s;
  Duration restart_delay = 200ms;  ///< Keeps a child that fails immediately from occupying a core.
  Duration stop_deadline = 10s;    ///< Maximum wait for one child to end.
};

/// Starts its children in order, restarts failed ones by the restart strategy, and stops them in
/// reverse order. It is itself a service, so supervisors form a tree.
class Supervisor : public Service {
 public:
  Supervisor(TimerService& timers, SupervisorOptions options, std::vector<ChildSpec> children);
  ~Supervisor() override;

  /// @return success after a requested stop, or kInternal with the last failure when the restart
  ///   limit is exceeded.
  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

  /// @return the number of restarts since the supervisor started.
  int restart_count() const { return m_restart_count; }

 private:
  struct Child;
  struct Exit {
    size_t index;
    uint64_t generation;
    Ret ret;
  };

  void StartChild(size_t index);
  QCoro::Task<void> RunChild(size_t index, uint64_t generation, Service& service);
  QCoro::Task<void> StopFrom(size_t first);
  bool AllowRestart();
  QCoro::Task<void> Restart(size_t failed);

  TimerService& m_timers;
  SupervisorOptions m_options;
  std::vector<std::unique_ptr<Child>> m_children;
  Mailbox<Exit> m_exits;
  StopSignal m_stop;
  std::deque<TimePoint> m_restarts;
  int m_restart_count = 0;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_SUPERVISOR_H_
