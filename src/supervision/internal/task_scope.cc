#include "supervision/task_scope.h"

#include <cassert>
#include <string>

namespace citronferry {

TaskScope::~TaskScope() { assert(m_running == 0); }

void TaskScope::Spawn(TaskFunction function) { RunTracked(std::move(function)); }

QCoro::Task<void> TaskScope::RunTracked(TaskFunction function) {
  ++m_running;
  co_await function();
  --m_running;
  if (m_running == 0) m_ended.Push(0);
}

QCoro::Task<Ret> TaskScope::Join(TimerService& timers, Duration timeout) {
  const TimePoint deadline = timers.Now() + timeout;
  while (m_running > 0) {
    const Duration remaining = deadline - timers.Now();
    if (remaining <= Duration::zero()) {
      co_return Ret(ErrorCode::kDeadlineExceeded,
                    std::to_string(m_running) + " tasks are still running");
    }
    co_await m_ended.Next(timers, remaining);
  }
  co_return MakeOk();
}

}  // namespace citronferry
