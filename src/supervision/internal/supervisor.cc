#include "supervision/supervisor.h"

#include <algorithm>
#include <cstdint>

#include "telemetry/log.h"

namespace citronferry {

struct Supervisor::Child {
  ChildSpec spec;
  std::unique_ptr<Service> service;
  uint64_t generation = 0;  // Incremented at each start and stop, to recognise stale exits.
  bool running = false;
  Mailbox<int> ended;
};

Supervisor::Supervisor(TimerService& timers, SupervisorOptions options,
                       std::vector<ChildSpec> children)
    : m_timers(timers), m_options(std::move(options)) {
  for (ChildSpec& spec : children) {
    m_children.push_back(std::make_unique<Child>());
    m_children.back()->spec = std::move(spec);
  }
}

Supervisor::~Supervisor() = default;

QCoro::Task<Ret> Supervisor::Run() {
  Subscription stop = m_stop.Subscribe([this] { m_exits.Close(); });
  for (size_t i = 0; i < m_children.size() && !m_stop.requested(); ++i) StartChild(i);

  Ret result;
  while (!m_stop.requested()) {
    const std::optional<Exit> exit = co_await m_exits.Next();
    if (!exit || m_stop.requested()) break;
    Child& child = *m_children[exit->index];
    if (exit->generation != child.generation) continue;
    Log(LogLevel::kError, "child_exited",
        {{"supervisor", m_options.name},
         {"child", child.spec.name},
         {"error", exit->ret.message()}});
    if (!AllowRestart()) {
      result = Ret(ErrorCode::kInternal,
                   child.spec.name +
                       ": restart limit exceeded; last error: " + std::string(exit->ret.message()));
      break;
    }
    co_await Restart(exit->index);
  }
  co_await StopFrom(0);
  co_return result;
}

void Supervisor::StartChild(size_t index) {
  Child& child = *m_children[index];
  child.service = child.spec.factory();
  ++child.generation;
  child.running = true;
  RunChild(index, child.generation, *child.service);
}

QCoro::Task<void> Supervisor::RunChild(size_t index, uint64_t generation, Service& service) {
  Ret ret = co_await service.Run();
  Child& child = *m_children[index];
  child.running = false;
  child.ended.Push(0);
  m_exits.Push({.index = index, .generation = generation, .ret = std::move(ret)});
}

QCoro::Task<void> Supervisor::StopFrom(size_t first) {
  for (size_t i = m_children.size(); i-- > first;) {
    Child& child = *m_children[i];
    ++child.generation;
    if (!child.service) continue;
    child.service->Stop();
    const TimePoint deadline = m_timers.Now() + m_options.stop_deadline;
    while (child.running && m_timers.Now() < deadline) {
      co_await child.ended.Next(m_timers, deadline - m_timers.Now());
    }
    if (child.running) {
      // A task of the child may still refer to the service, so the service is leaked.
      Log(LogLevel::kError, "child_stop_timeout",
          {{"supervisor", m_options.name}, {"child", child.spec.name}});
      static_cast<void>(child.service.release());
    }
    child.service.reset();
  }
}

bool Supervisor::AllowRestart() {
  const TimePoint now = m_timers.Now();
  while (!m_restarts.empty() && now - m_restarts.front() > m_options.restart_window) {
    m_restarts.pop_front();
  }
  m_restarts.push_back(now);
  return static_cast<int>(m_restarts.size()) <= m_options.max_restarts;
}

QCoro::Task<void> Supervisor::Restart(size_t failed) {
  ++m_restart_count;
  const bool rest = m_options.strategy == RestartStrategy::kRestForOne;
  if (rest) {
    co_await StopFrom(failed);
  } else {
    m_children[failed]->service.reset();
  }
  if (!co_await SleepFor(m_timers, m_options.restart_delay, &m_stop)) co_return;
  const size_t end = rest ? m_children.size() : failed + 1;
  for (size_t i = failed; i < end; ++i) StartChild(i);
}

}  // namespace citronferry
