#include "node/gateway/internal/dispatch_work_runner.h"

#include <array>

namespace citronferry::node {
namespace {

using dispatch::AttemptOutcome;

bool MayHaveRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kUnknown || outcome == AttemptOutcome::kFailed;
}

bool MayRetry(http::Idempotency idempotency, AttemptOutcome outcome) {
  if (idempotency == http::Idempotency::kNonIdempotent) return outcome == AttemptOutcome::kNotRun;
  return outcome != AttemptOutcome::kAnswered;
}

WorkResult MakeWorkResult(WorkOutcome outcome, std::string reason, bool may_have_run) {
  // An earlier attempt of idempotent work may have run although the last one certainly did not.
  const bool reports_not_run = outcome == WorkOutcome::kNotRun ||
                               outcome == WorkOutcome::kCancelled ||
                               outcome == WorkOutcome::kWithdrawn;
  return {.outcome = reports_not_run && may_have_run ? WorkOutcome::kUnknown : outcome,
          .reason = std::move(reason)};
}

WorkOutcome ToWorkOutcome(dispatch::Verdict verdict) {
  // Indexed by dispatch::Verdict.
  static constexpr std::array<WorkOutcome, 4> kOutcomes{
      WorkOutcome::kAnswered, WorkOutcome::kNotRun, WorkOutcome::kUnknown, WorkOutcome::kFailed};
  return kOutcomes[static_cast<size_t>(verdict)];
}

// Releases the slot without a retry. The end of the attempt does not count as a failure of the
// executor.
void Withdraw(DispatchService::SubmittedRequest& request, AttemptOutcome outcome) {
  request.Cancel();
  request.EndAttempt(outcome);
}

}  // namespace

DispatchWorkRunner::DispatchWorkRunner(NodeContext& context, DispatchService& dispatch,
                                       ExecutorClient& executors)
    : m_context(context), m_dispatch(dispatch), m_executors(executors) {
  m_context.work_runner = this;
}

DispatchWorkRunner::~DispatchWorkRunner() { m_context.work_runner = nullptr; }

QCoro::Task<WorkResult> DispatchWorkRunner::Run(WorkItem work, AttemptGate& gate,
                                                StopSignal& cancel) {
  const auto request = m_dispatch.Submit(work.queue, work.team, work.deadline);
  bool running = false;
  bool may_have_run = false;
  // A request that holds a slot, or whose StartAttempt is still in the mailbox, releases it below.
  const Subscription cancelled = cancel.Subscribe([&] {
    if (!running && !request->Next().await_ready()) request->Cancel();
  });
  AttemptResult last;
  while (const auto action = co_await request->Next()) {
    const auto* start = std::get_if<dispatch::StartAttempt>(&*action);
    if (!start) {
      const auto& end = std::get<dispatch::EndRequest>(*action);
      WorkResult result = MakeWorkResult(ToWorkOutcome(end.verdict), end.reason, may_have_run);
      result.response = std::move(last.response);
      result.retry_after = end.retry_after;
      co_return result;
    }
    running = true;
    const bool admitted = co_await gate.Admit();
    if (!admitted || cancel.requested()) {
      Withdraw(*request, AttemptOutcome::kWithdrawn);
      const WorkOutcome outcome = admitted ? WorkOutcome::kCancelled : WorkOutcome::kWithdrawn;
      co_return MakeWorkResult(outcome, "withdrawn before it was sent", may_have_run);
    }
    last = co_await RunAttempt(work, start->executor, cancel);
    may_have_run = may_have_run || MayHaveRun(last.outcome);
    running = false;
    if (cancel.requested() && MayRetry(work.idempotency, last.outcome)) {
      Withdraw(*request, last.outcome);
      break;
    }
    request->EndAttempt(last.outcome);
  }
  co_return MakeWorkResult(WorkOutcome::kCancelled, "cancelled", may_have_run);
}

QCoro::Task<AttemptResult> DispatchWorkRunner::RunAttempt(WorkItem work, InstanceId executor,
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
