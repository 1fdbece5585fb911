#ifndef CITRONFERRY_SUPERVISION_TASK_SCOPE_H_
#define CITRONFERRY_SUPERVISION_TASK_SCOPE_H_

#include <qcoro/qcorotask.h>

#include <cstddef>
#include <functional>

#include "base/ret.h"
#include "supervision/awaitables.h"

namespace citronferry {

/// Owns the tasks of connections and peers, so that none outlives the service it refers to.
class TaskScope {
 public:
  using TaskFunction = std::function<QCoro::Task<void>()>;

  TaskScope() = default;
  TaskScope(const TaskScope&) = delete;
  TaskScope& operator=(const TaskScope&) = delete;
  /// All tasks must have ended.
  ~TaskScope();

  /// Starts a task. The function object lives until its task has ended, so it may capture state.
  void Spawn(TaskFunction function);
  size_t running() const { return m_running; }
  /// Waits until every task has ended.
  /// @param timeout longest wait.
  /// @return kDeadlineExceeded when tasks are still running.
  QCoro::Task<Ret> Join(TimerService& timers, Duration timeout);

 private:
  QCoro::Task<void> RunTracked(TaskFunction function);

  size_t m_running = 0;
  Mailbox<int> m_ended;
};

}  // namespace citronferry

#endif  // CITRONFERRY_SUPERVISION_TASK_SCOPE_H_
