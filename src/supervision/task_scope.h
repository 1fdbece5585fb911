#ifndef CITRONFERRY_SUPERVISION_TASK_SCOPE_H_
#define CITRONFERRY_SUPERVISION_TASK_SCOPE_H_

#include <qcoro/qcorotask.h>

#include <cstddef>
#include <functional>

#include "base/ret.h"
#include "supervision/awaitables.h"

namespace citronferry {

/// Tracks the tasks of a service, such as those of its connections and peers, so that the service
/// can wait for all of them before it is destroyed (structured concurrency).
class TaskScope {
 public:
  using TaskFunction = std::function<QCoro::Task<void>()>;

  TaskScope() = default;
  TaskScope(const TaskScope&) = delete;
  TaskScope& operator=(const TaskScope&) = delete;
  /// @pre All tasks have ended.
  ~TaskScope();

  /// Starts a task. The function object lives until its task has ended, so the coroutine may use
  /// the captures.
  void Spawn(TaskFunction function);
  /// @return the number of tasks that have not ended.
  size_t running() const { return m_running; }
  /// Waits until every task has ended.
  /// @param timeout maximum wait.
  /// @return kDeadlineExceeded when tasks are still running after the timeout.
  QCoro::Task<Ret> Join(TimerService& timers, Duration timeout);

 private:
  QCoro::Task<void> RunTracked(TaskFunction function);

  size_t m_running = 0;
  Mailbox<int> m_ended;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_TASK_SCOPE_H_
