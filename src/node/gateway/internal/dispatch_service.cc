#include "node/gateway/internal/dispatch_service.h"

#include "node/gateway/internal/dispatcher_inputs.h"

namespace citronferry::node {
namespace {

constexpr Duration kTickPeriod = 100ms;

dispatch::RequestNumber NumberOf(const dispatch::Action& action) {
  return std::visit([](const auto& value) { return value.number; }, action);
}

}  // namespace

DispatchService::SubmittedRequest::~SubmittedRequest() { Cancel(); }

void DispatchService::SubmittedRequest::EndAttempt(dispatch::AttemptOutcome outcome) {
  m_service.Handle(dispatch::AttemptEnded{.number = m_number, .outcome = outcome});
}

void DispatchService::SubmittedRequest::Cancel() {
  if (!std::exchange(m_open, false)) return;
  m_service.m_requests.erase(m_number);
  m_service.Handle(dispatch::RequestCancelled{.number = m_number});
  m_actions.Close();
}

DispatchService::DispatchService(NodeContext& context) : m_context(context) {
  const auto update = [this](const auto&) { UpdateExecutors(); };
  m_subscriptions.push_back(context.configuration.Subscribe([this](const ActiveConfiguration& c) {
    Handle(dispatch::PolicyChanged{MakeDispatchPolicy(*c.document)});
    UpdateExecutors();
  }));
  m_subscriptions.push_back(context.fleet.Subscribe(update));
  m_subscriptions.push_back(context.roster.Subscribe(update));
  m_subscriptions.push_back(context.slot_adjustments.Subscribe(update));
  m_subscriptions.push_back(context.timers.Subscribe(kTickPeriod, [this] {
    if (m_dispatcher.queued() > 0) Handle(dispatch::Tick{});
  }));
  context.read_load = [this] { return ReadLoad(); };
  context.has_waiting_work = [this] { return m_dispatcher.queued() > 0; };
  if (const auto& document = context.configuration.Get().document) {
    Handle(dispatch::PolicyChanged{MakeDispatchPolicy(*document)});
    UpdateExecutors();
  }
}

DispatchService::~DispatchService() {
  m_context.read_load = nullptr;
  m_context.has_waiting_work = nullptr;
}

GatewayLoad DispatchService::ReadLoad() const {
  GatewayLoad load;
  for (const dispatch::ExecutorLoad& executor : m_dispatcher.ReadExecutors()) {
    load.free_slots[executor.id] = executor.slots - executor.in_use;
    load.in_flight[executor.id] = executor.in_use;
  }
  load.waiting = m_dispatcher.WaitingByPool();
  return load;
}

std::unique_ptr<DispatchService::SubmittedRequest> DispatchService::Submit(const QueueName& queue,
                                                                           const TeamName& team,
                                                                           TimePoint deadline) {
  const dispatch::RequestNumber number = ++m_last_number;
  std::unique_ptr<SubmittedRequest> request(new SubmittedRequest(*this, number));
  m_requests.emplace(number, request.get());
  Handle(dispatch::RequestArrived{
      {.number = number, .queue = queue, .team = team, .deadline = deadline}});
  return request;
}

void DispatchService::Handle(const dispatch::Event& event) {
  for (dispatch::Action& action : m_dispatcher.Handle(event, m_context.timers.Now())) {
    const auto request = m_requests.find(NumberOf(action));
    if (request != m_requests.end()) request->second->m_actions.Push(std::move(action));
  }
}

void DispatchService::UpdateExecutors() {
  Handle(dispatch::ExecutorsChanged{MakeExecutorStates(m_context)});
}

}  // namespace citronferry::node
