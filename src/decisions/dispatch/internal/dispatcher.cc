#include "decisions/dispatch/dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronferry::dispatch {

std::vector<Action> Dispatcher::Handle(const Event& event, TimePoint now) {
  using Handler = void (Dispatcher::*)(const Event&);
  // In the order of the alternatives of Event.
  static constexpr std::array<Handler, std::variant_size_v<Event>> kHandlers{
      &Dispatcher::OnPolicyChanged,  &Dispatcher::OnExecutorsChanged,
      &Dispatcher::OnRequestArrived, &Dispatcher::OnRequestCancelled,
      &Dispatcher::OnAttemptEnded,   &Dispatcher::OnTick};
  m_now = now;
  (this->*kHandlers[event.index()])(event);
  ExpireWaiting();
  StartWaiting();
  return std::exchange(m_actions, {});
}

size_t Dispatcher::queued() const {
  size_t count = 0;
  for (const auto& [name, waiting] : m_waiting) count += waiting.size();
  return count;
}

std::map<PoolName, size_t> Dispatcher::WaitingByPool() const {
  std::map<PoolName, size_t> counts;
  for (const auto& [name, waiting] : m_waiting) {
    const auto policy = m_policy.queues.find(name);
    if (policy != m_policy.queues.end()) counts[policy->second.pool] += waiting.size();
  }
  return counts;
}

std::vector<ExecutorLoad> Dispatcher::ReadExecutors() const {
  std::vector<ExecutorLoad> loads;
  loads.reserve(m_executors.size());
  for (const auto& [id, executor] : m_executors) {
    loads.push_back({.id = id, .slots = executor.state.slots, .in_use = executor.in_use});
  }
  return loads;
}

void Dispatcher::OnPolicyChanged(const Event& event) {
  m_policy = std::get<PolicyChanged>(event).policy;
}

void Dispatcher::OnExecutorsChanged(const Event& event) {
  std::map<InstanceId, Executor> updated;
  for (const ExecutorState& state : std::get<ExecutorsChanged>(event).executors) {
    const auto known = m_executors.find(state.id);
    const int in_use = known == m_executors.end() ? 0 : known->second.in_use;
    updated.emplace(state.id, Executor{.state = state, .in_use = in_use});
  }
  m_executors = std::move(updated);
}

void Dispatcher::OnRequestArrived(const Event& event) {
  const Request& request = std::get<RequestArrived>(event).request;
  const auto policy = m_policy.queues.find(request.queue);
  if (policy == m_policy.queues.end()) {
    End(request.number, Verdict::kNotRun, "unknown queue");
    return;
  }
  auto& waiting = m_waiting[request.queue];
  if (waiting.size() >= policy->second.max_queued) {
    End(request.number, Verdict::kNotRun, "queue is full");
    return;
  }
  const TimePoint expires = std::min(request.deadline, m_now + policy->second.wait_limit);
  waiting.push_back({.request = request, .expires = expires});
}

void Dispatcher::OnRequestCancelled(const Event& event) {
  const RequestNumber number = std::get<RequestCancelled>(event).number;
  for (auto& [name, waiting] : m_waiting) {
    std::erase_if(waiting,
                  [number](const Queued& entry) { return entry.request.number == number; });
  }
}

void Dispatcher::OnAttemptEnded(const Event& event) {
  const auto& ended = std::get<AttemptEnded>(event);
  auto node = m_running.extract(ended.number);
  if (node.empty()) return;
  const auto executor = m_executors.find(node.mapped().executor);
  if (executor != m_executors.end()) --executor->second.in_use;

  Queued queued = std::move(node.mapped().queued);
  const QueuePolicy& policy = m_policy.queues[queued.request.queue];
  const bool may_retry = ended.outcome == AttemptOutcome::kNotRun ||
                         (ended.outcome != AttemptOutcome::kAnswered && policy.idempotent);
  if (ended.outcome == AttemptOutcome::kAnswered) {
    End(ended.number, Verdict::kAnswered, {});
  } else if (may_retry && queued.attempts < policy.max_attempts) {
    m_waiting[queued.request.queue].push_front(std::move(queued));
  } else if (ended.outcome == AttemptOutcome::kNotRun) {
    End(ended.number, Verdict::kNotRun, "no backend server took the request");
  } else if (ended.outcome == AttemptOutcome::kFailed) {
    End(ended.number, Verdict::kFailed, "the backend server failed");
  } else {
    End(ended.number, Verdict::kUnknown, "no answer from the backend server");
  }
}

void Dispatcher::OnTick(const Event&) {}

void Dispatcher::ExpireWaiting() {
  for (auto& [name, waiting] : m_waiting) {
    std::erase_if(waiting, [this](const Queued& entry) {
      if (entry.expires > m_now) return false;
      End(entry.request.number, Verdict::kNotRun, "deadline passed in the queue");
      return true;
    });
  }
}

void Dispatcher::StartWaiting() {
  for (auto& [name, waiting] : m_waiting) {
    const PoolName& pool = m_policy.queues[name].pool;
    while (!waiting.empty()) {
      Executor* executor = FindExecutor(pool);
      if (!executor) break;
      Queued queued = std::move(waiting.front());
      waiting.pop_front();
      ++queued.attempts;
      ++executor->in_use;
      const RequestNumber number = queued.request.number;
      m_actions.push_back(StartAttempt{
          .number = number, .executor = executor->state.id, .attempt = queued.attempts});
      m_running.emplace(number,
                        Running{.queued = std::move(queued), .executor = executor->state.id});
    }
  }
}

Dispatcher::Executor* Dispatcher::FindExecutor(const PoolName& pool) {
  Executor* best = nullptr;
  for (auto& [id, executor] : m_executors) {
    if (executor.state.pool != pool || executor.state.leaving) continue;
    if (executor.in_use >= executor.state.slots) continue;
    if (!best || executor.in_use < best->in_use) best = &executor;
  }
  return best;
}

void Dispatcher::End(RequestNumber number, Verdict verdict, std::string reason) {
  m_actions.push_back(
      EndRequest{.number = number, .verdict = verdict, .reason = std::move(reason)});
}

}  // namespace citronferry::dispatch
