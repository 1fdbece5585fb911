#include "node/gateway/internal/dispatched_work.h"

#include <array>

namespace citronferry::node {
namespace {

using dispatch::AttemptOutcome;

bool MayHaveRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kUnknown || outcome == AttemptOutcome::kFailed;
}

WorkResult EndWork(WorkEnd end, std::string reason, bool may_have_run) {
  // An earlier attempt of idempotent work may have run although the last one certainly did not.
  const bool claims_not_run =
      end == WorkEnd::kNotRun || end == WorkEnd::kCancelled || end == WorkEnd::kWithdrawn;
  return {.end = claims_not_run && may_have_run ? WorkEnd::kUnknown : end,
          .reason = std::move(reason)};
}

WorkEnd EndOf(dispatch::Verdict verdict) {
  // By Verdict.
  static constexpr std::array<WorkEnd, 4> kEnds{WorkEnd::kAnswered, WorkEnd::kNotRun,
                                                WorkEnd::kUnknown, WorkEnd::kFailed};
  return kEnds[static_cast<size_t>(verdict)];
}

}  // namespace

DispatchedWork::DispatchedWork(NodeContext& context, DispatchService& dispatch,
                               ExecutorClient& executors)
    : m_context(context), m_dispatch(dispatch), m_executors(executors) {
  m_context.work = this;
}

DispatchedWork::~DispatchedWork() { m_context.work = nullptr; }

QCoro::Task<WorkResult> DispatchedWork::Run(Work work, AttemptGate& gate, StopSignal& cancel) {
  const auto ticket = m_dispatch.Submit(work.queue, work.team, work.deadline);
  bool running = false;
  bool may_have_run = false;
  // Cancelling a request that has a slot would leave the slot in use. So a request that runs, or
  // whose start is still in the mailbox, is withdrawn by the loop below.
  const Subscription cancelled = cancel.Subscribe([&] {
    if (!running && !ticket->Next().await_ready()) ticket->Cancel();
  });
  AttemptResult last;
  while (const auto action = co_await ticket->Next()) {
    const auto* start = std::get_if<dispatch::StartAttempt>(&*action);
    if (!start) {
      const auto& end = std::get<dispatch::EndRequest>(*action);
      WorkResult result = EndWork(EndOf(end.verdict), end.reason, may_have_run);
      result.response = std::move(last.response);
      result.retry_after = end.retry_after;
      co_return result;
    }
    running = true;
    const bool open = co_await gate.Open();
    if (!open || cancel.requested()) {
      co_await Withdraw(*ticket, AttemptOutcome::kNotRun);
      const WorkEnd end = open ? WorkEnd::kCancelled : WorkEnd::kWithdrawn;
      co_return EndWork(end, "withdrawn before it was sent", may_have_run);
    }
    last = co_await RunAttempt(work, start->executor, cancel);
    may_have_run = may_have_run || MayHaveRun(last.outcome);
    running = false;
    if (cancel.requested() && last.outcome != AttemptOutcome::kAnswered) {
      co_await Withdraw(*ticket, last.outcome);
      break;
    }
    ticket->EndAttempt(last.outcome);
  }
  co_return EndWork(WorkEnd::kCancelled, "cancelled", may_have_run);
}

QCoro::Task<AttemptResult> DispatchedWork::RunAttempt(Work work, InstanceId executor,
                                                      StopSignal& cancel) {
  Span span("executor.attempt", work.trace);
  span.SetTag("executor", executor.view());
  Attempt attempt{.executor = executor,
                  .queue = work.queue.str(),
                  .request_id = work.request_id,
                  .content_type = work.content_type,
                  .body = work.body,
                  .timeout = work.deadline - m_context.timers.Now(),
                  .idempotency = work.idempotency,
                  .trace = span.context()};
  if (work.idempotency == http::Idempotency::kIdempotent) attempt.abort = &cancel;
  AttemptResult result = co_await m_executors.Execute(std::move(attempt));
  if (!result.detail.empty()) span.SetTag("detail", result.detail);
  co_return result;
}

QCoro::Task<void> DispatchedWork::Withdraw(DispatchService::Ticket& ticket,
                                           AttemptOutcome outcome) {
  ticket.EndAttempt(outcome);
  // The dispatcher may have started a retry at once, which holds a slot again.
  while (ticket.Next().await_ready()) {
    const auto action = co_await ticket.Next();
    if (!action || !std::holds_alternative<dispatch::StartAttempt>(*action)) break;
    ticket.EndAttempt(AttemptOutcome::kNotRun);
  }
  ticket.Cancel();
}

}  // namespace citronferry::node
