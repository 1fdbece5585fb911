#include "decisions/dispatch/dispatcher.h"

#include "decisions/dispatch/internal/engine.h"

namespace citronferry::dispatch {

Dispatcher::Dispatcher() : m_engine(std::make_unique<Engine>()) {}

Dispatcher::~Dispatcher() = default;

std::vector<Action> Dispatcher::Handle(const Event& event, TimePoint now) {
  return m_engine->Handle(event, now);
}

size_t Dispatcher::queued() const { return m_engine->queued(); }

std::map<PoolName, size_t> Dispatcher::WaitingByPool() const { return m_engine->WaitingByPool(); }

std::vector<ExecutorLoad> Dispatcher::ReadExecutors() const { return m_engine->ReadExecutors(); }

std::vector<QueueLoad> Dispatcher::ReadQueues() const { return m_engine->ReadQueues(); }

size_t Dispatcher::running() const { return m_engine->running(); }

}  // namespace citronferry::dispatch
