#include "node/jobs/internal/job_runner.h"

#include <algorithm>

#include "node/gateway/answer_record.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr Duration kRetryPeriod = 1s;

}  // namespace

QCoro::Task<void> JobRunner::Run() {
  const auto document = m_context.configuration.Get().document;
  const auto queue =
      std::find_if(document->queues.begin(), document->queues.end(),
                   [&](const document::Queue& q) { return q.name == m_row.job.queue; });
  if (queue == document->queues.end()) co_return;
  const auto body = co_await m_store.LoadJobBody(m_row.job);
  // The gateway may have stopped in the meantime.
  if (!body.ok() || !m_context.work_runner) co_return;
  m_idempotent = queue->idempotent;
  m_max_attempts = queue->max_attempts;
  WorkItem work{.queue = queue->name,
                .team = m_row.job.team,
                .request_id = m_row.id.str(),
                .content_type = m_row.job.content_type,
                .body = QByteArray::fromStdString(body.value()),
                .deadline = m_context.timers.Now() + queue->wait_limit + queue->deadline,
                .idempotency = m_idempotent ? http::Idempotency::kIdempotent
                                            : http::Idempotency::kNonIdempotent,
                .trace = TraceContext::NewRoot()};
  const Subscription stopped = m_stop.Subscribe([this] { m_cancel.Request(); });
  m_work.Spawn([this, work = std::move(work)]() -> QCoro::Task<void> { return RunWork(work); });
  while (true) {
    auto result = co_await m_result.Next(m_context.timers, jobs::kRenewPeriod);
    if (result) {
      co_await RecordResult(std::move(*result));
      break;
    }
    if (m_lease_held && !m_claim_lost) co_await RenewLease();
  }
  static_cast<void>(co_await m_work.Join(m_context.timers, 1s));
}

QCoro::Task<void> JobRunner::RunWork(WorkItem work) {
  WorkResult result = co_await m_context.work_runner->Run(std::move(work), *this, m_cancel);
  m_result.Push(std::move(result));
}

QCoro::Task<bool> JobRunner::Admit() {
  if (m_lease_held) co_return MayStart();
  jobs::Job claimed = m_row.job;
  claimed.state = jobs::State::kClaimed;
  claimed.holder = {.entry = m_context.settings.id, .incarnation = m_context.incarnation};
  ++claimed.attempts;
  const TimePoint started = m_context.timers.Now();
  auto written = co_await m_store.Replace(m_row, claimed);
  // If it is not known whether the claim was written, the job is not started, and RecordResult
  // withdraws the claim.
  m_may_be_claimed = written.ok() || written.code() == ErrorCode::kUnknownOutcome;
  m_claimed_attempts = claimed.attempts;
  if (!written.ok()) co_return false;
  m_row = std::move(written).value();
  m_last_renewal = started;
  m_lease_held = true;
  co_return MayStart();
}

bool JobRunner::MayStart() const {
  return !m_claim_lost &&
         m_context.timers.Now() < m_last_renewal + jobs::kLeaseDuration - jobs::kLeaseMargin;
}

QCoro::Task<void> JobRunner::RenewLease() {
  const TimePoint started = m_context.timers.Now();
  auto written = co_await m_store.Replace(m_row, m_row.job);
  if (written.ok()) {
    m_row = std::move(written).value();
    m_last_renewal = started;
  } else if (written.code() == ErrorCode::kConflict) {
    co_await ResolveConflict();
  }
}

QCoro::Task<void> JobRunner::ResolveConflict() {
  // A write by this object whose response was lost may have changed the version of its own claim.
  auto read = co_await m_store.Read(m_row.id);
  if (!read.ok()) {
    m_claim_lost = read.code() == ErrorCode::kNotFound;
    co_return;
  }
  const requests::Holder self{.entry = m_context.settings.id, .incarnation = m_context.incarnation};
  m_claim_lost = read->job.state != jobs::State::kClaimed || read->job.holder != self ||
                 read->job.attempts != m_claimed_attempts;
  if (!m_claim_lost) m_row = std::move(read).value();
}

QCoro::Task<void> JobRunner::RecordResult(WorkResult result) {
  if (!m_may_be_claimed) co_return;
  jobs::Job job = m_row.job;
  if (!m_lease_held) {
    // Writing the row as it was changes its version, so that a delayed write of the claim fails.
    job.state = jobs::State::kAccepted;
    co_return co_await WriteWithRetries(std::move(job));
  }
  const bool not_run = result.outcome == WorkOutcome::kNotRun ||
                       result.outcome == WorkOutcome::kCancelled ||
                       result.outcome == WorkOutcome::kWithdrawn;
  const bool run_again = not_run || (result.outcome == WorkOutcome::kUnknown && m_idempotent &&
                                     job.attempts < m_max_attempts);
  if (run_again) {
    if (not_run) --job.attempts;
    job.state = jobs::State::kAccepted;
    co_return co_await WriteWithRetries(std::move(job));
  }
  job.state = jobs::State::kEnded;
  job.answer = MakeAnswer(result);
  co_await WriteWithRetries(std::move(job));
}

QCoro::Task<void> JobRunner::WriteWithRetries(jobs::Job job) {
  // The row belongs to this entry until another one takes it over, so retries are not limited.
  while (!m_claim_lost) {
    auto answer = co_await m_store.StoreAnswer(job.answer);
    if (answer.ok()) {
      jobs::Job stored = job;
      stored.answer = std::move(answer).value();
      const auto written = co_await m_store.Replace(m_row, std::move(stored));
      if (written.ok()) co_return;
      if (written.code() == ErrorCode::kConflict) co_await ResolveConflict();
    }
    if (m_claim_lost || m_stop.requested()) break;
    co_await SleepFor(m_context.timers, kRetryPeriod, &m_stop);
  }
  Log(LogLevel::kWarning, "job_answer_not_recorded", {{"job", m_row.id.view()}});
}

}  // namespace citronferry::node
