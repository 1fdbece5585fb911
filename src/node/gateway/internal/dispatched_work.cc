#include "node/gateway/internal/dispatched_work.h"

#include <array>

namespace citronferry::node {
namespace {

using dispatch::AttemptOutcome;

bool MayHaveRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kUnknown || outcome == AttemptOutcome::kFailed;
}

bool MayBeRepeated(http::Idempotency idempotency, AttemptOutcome outcome) {
  if (idempotency == http::Idempotency::kNonIdempotent) return outcome == AttemptOutcome::kNotRun;
  return outcome != AttemptOutcome::kAnswered;
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

// The slot is given back, the request is not tried again, and the executor is not judged by it.
void Withdraw(DispatchService::Ticket& ticket, AttemptOutcome outcome) {
  ticket.Cancel();
  ticket.EndAttempt(outcome);
}

}  // namespace

DispatchedWork::DispatchedWork(NodeContext& context, DispatchService& dispatch,
                               ExecutorClient& executors)
    : m_context(context), m_dispatch(dispatch), m_executors(executors) {
  m_context.work_runner = this;
}

DispatchedWork::~DispatchedWork() { m_context.work_runner = nullptr; }

QCoro::Task<WorkResult> DispatchedWork::Run(Work work, AttemptGate& gate, StopSignal& cancel) {
  const auto ticket = m_dispatch.Submit(work.queue, work.team, work.deadline);
  bool running = false;
  bool may_have_run = false;
  // A request that has a slot, or whose start is still in the mailbox, gives the slot back below.
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
      Withdraw(*ticket, AttemptOutcome::kWithdrawn);
      const WorkEnd end = open ? WorkEnd::kCancelled : WorkEnd::kWithdrawn;
      co_return EndWork(end, "withdrawn before it was sent", may_have_run);
    }
    last = co_await RunAttempt(work, start->executor, cancel);
    may_have_run = may_have_run || MayHaveRun(last.outcome);
    running = false;
    if (cancel.requested() && MayBeRepeated(work.idempotency, last.outcome)) {
      Withdraw(*ticket, last.outcome);
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

}  // namespace citronferry::node
