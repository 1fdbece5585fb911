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
  // The gateway may have stopped meanwhile.
  if (!body.ok() || !m_context.work_runner) co_return;
  m_idempotent = queue->idempotent;
  m_max_attempts = queue->max_attempts;
  Work work{.queue = queue->name,
            .team = m_row.job.team,
            .request_id = m_row.id.str(),
            .content_type = m_row.job.content_type,
            .body = QByteArray::fromStdString(body.value()),
            .deadline = m_context.timers.Now() + queue->wait_limit + queue->deadline,
            .idempotency =
                m_idempotent ? http::Idempotency::kIdempotent : http::Idempotency::kNonIdempotent,
            .trace = TraceContext::NewRoot()};
  const Subscription stopped = m_stop.Subscribe([this] { m_cancel.Request(); });
  m_work.Spawn([this, work = std::move(work)]() -> QCoro::Task<void> { return RunWork(work); });
  while (true) {
    auto result = co_await m_result.Next(m_context.timers, jobs::kRenewPeriod);
    if (result) {
      co_await Conclude(std::move(*result));
      break;
    }
    if (m_held && !m_lost) co_await Renew();
  }
  static_cast<void>(co_await m_work.Join(m_context.timers, 1s));
}

QCoro::Task<void> JobRunner::RunWork(Work work) {
  WorkResult result = co_await m_context.work_runner->Run(std::move(work), *this, m_cancel);
  m_result.Push(std::move(result));
}

QCoro::Task<bool> JobRunner::Open() {
  if (m_held) co_return MayStart();
  jobs::Job claimed = m_row.job;
  claimed.state = jobs::State::kClaimed;
  claimed.holder = {.entry = m_context.settings.id, .incarnation = m_context.incarnation};
  ++claimed.attempts;
  const TimePoint started = m_context.timers.Now();
  auto written = co_await m_store.Replace(m_row, claimed);
  // A claim whose answer stays unknown is not used, but withdrawn when the try ends.
  m_claimed = written.ok() || written.code() == ErrorCode::kUnknownOutcome;
  m_claimed_attempts = claimed.attempts;
  if (!written.ok()) co_return false;
  m_row = std::move(written).value();
  m_renewed = started;
  m_held = true;
  co_return MayStart();
}

bool JobRunner::MayStart() const {
  return !m_lost && m_context.timers.Now() < m_renewed + jobs::kLease - jobs::kLeaseMargin;
}

QCoro::Task<void> JobRunner::Renew() {
  const TimePoint started = m_context.timers.Now();
  auto written = co_await m_store.Replace(m_row, m_row.job);
  if (written.ok()) {
    m_row = std::move(written).value();
    m_renewed = started;
  } else if (written.code() == ErrorCode::kConflict) {
    co_await AdoptOwnRow();
  }
}

QCoro::Task<void> JobRunner::AdoptOwnRow() {
  // A write of this try whose answer was lost may have moved the version of its own claim.
  auto read = co_await m_store.Read(m_row.id);
  if (!read.ok()) {
    m_lost = read.code() == ErrorCode::kNotFound;
    co_return;
  }
  const requests::Holder self{.entry = m_context.settings.id, .incarnation = m_context.incarnation};
  m_lost = read->job.state != jobs::State::kClaimed || read->job.holder != self ||
           read->job.attempts != m_claimed_attempts;
  if (!m_lost) m_row = std::move(read).value();
}

QCoro::Task<void> JobRunner::Conclude(WorkResult result) {
  if (!m_claimed) co_return;
  jobs::Job job = m_row.job;
  if (!m_held) {
    // Writing the row as it was makes the claim fail if it is still on its way.
    job.state = jobs::State::kAccepted;
    co_return co_await Write(std::move(job));
  }
  const bool not_run = result.end == WorkEnd::kNotRun || result.end == WorkEnd::kCancelled ||
                       result.end == WorkEnd::kWithdrawn;
  const bool run_again =
      not_run || (result.end == WorkEnd::kUnknown && m_idempotent && job.attempts < m_max_attempts);
  if (run_again) {
    if (not_run) --job.attempts;
    job.state = jobs::State::kAccepted;
    co_return co_await Write(std::move(job));
  }
  job.state = jobs::State::kEnded;
  job.answer = MakeAnswer(result);
  co_await Write(std::move(job));
}

QCoro::Task<void> JobRunner::Write(jobs::Job job) {
  // The row belongs to this entry until another one has taken it over, so there is no other bound.
  while (!m_lost) {
    auto answer = co_await m_store.StoreAnswer(job.answer);
    if (answer.ok()) {
      jobs::Job stored = job;
      stored.answer = std::move(answer).value();
      const auto written = co_await m_store.Replace(m_row, std::move(stored));
      if (written.ok()) co_return;
      if (written.code() == ErrorCode::kConflict) co_await AdoptOwnRow();
    }
    if (m_lost || m_stop.requested()) break;
    co_await SleepFor(m_context.timers, kRetryPeriod, &m_stop);
  }
  Log(LogLevel::kWarning, "job_answer_not_recorded", {{"job", m_row.id.view()}});
}

}  // namespace citronferry::node
