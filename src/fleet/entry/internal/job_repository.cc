#include "fleet/entry/job_repository.h"

#include <algorithm>
#include <utility>

#include "fleet/backoff.h"
#include "fleet/tables.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Each job takes a condition and two puts.
constexpr size_t kMaxBatch = kMaxTransactionEntries / 3;
// Two attempts fit into the three seconds that clients usually wait.
constexpr Duration kWriteTimeout = 1100ms;
constexpr Duration kInitialRetryDelay = 30ms;
constexpr Duration kMaxRetryDelay = 200ms;
// Owners commit at least every 600 ms and entries read their rows every 500 ms. A number of pending
// jobs may be 2 s old.
constexpr Duration kMaxOwnerAge = 2s;
// Callers allow for 3 s until a job is visible and for 2 s of the number's age. An owner that keeps
// up has read the jobs of up to 2.5 s ago when an entry looks at its number.
constexpr int64_t kMaxJobsAgeMs = 4'000;
// Reserved for sending the response to the client.
constexpr Duration kAnswerMargin = 250ms;
// After this many rejections by the store the client is told, since another entry may reach it.
constexpr int kMaxRefusals = 2;

}  // namespace

QCoro::Task<CallOutcome> JobRepository::Submit(PoolName pool, scheduling::JobDefinition definition,
                                               TimePoint deadline) {
  auto submission = std::make_shared<Submission>();
  submission->pool_key = JobPoolKey(definition.id);
  submission->pool = pool;
  submission->key = JobKey(pool, definition.id);
  submission->value = EncodeJob(definition);
  submission->deadline = deadline - kAnswerMargin;
  const std::string partition = submission->key.partition;
  SubmissionQueue& queue = m_submission_queues[partition];
  queue.waiting.push_back(submission);
  if (!std::exchange(queue.flushing, true)) {
    m_tasks.Spawn([this, partition]() -> QCoro::Task<void> { return Flush(partition); });
  }
  co_return co_await submission->outcome.Wait();
}

QCoro::Task<void> JobRepository::Flush(std::string partition) {
  SubmissionQueue& queue = m_submission_queues[partition];
  while (!queue.waiting.empty()) {
    Submissions batch;
    size_t bytes = 0;
    while (!queue.waiting.empty() && batch.size() < kMaxBatch) {
      const auto& next = queue.waiting.front();
      bytes += BytesOf(*next);
      if (!batch.empty() && bytes > kMaxTransactionBytes) break;
      // A transaction cannot contain a job twice: its condition says that the job does not exist.
      const bool twice = std::any_of(batch.begin(), batch.end(), [&](const auto& other) {
        return other->pool_key == next->pool_key;
      });
      if (twice) break;
      batch.push_back(next);
      queue.waiting.pop_front();
    }
    co_await Write(std::move(batch));
  }
  queue.flushing = false;
}

size_t JobRepository::BytesOf(const Submission& submission) {
  // The condition has the key of the row with the pool, as its put does.
  return EncodedBytes({.key = submission.key, .value = submission.value}) +
         2 * EncodedBytes({.key = submission.pool_key, .value = submission.pool.str()});
}

void JobRepository::AcceptExisting(std::span<const Row> rows, Submissions& batch) {
  std::erase_if(batch, [&](const std::shared_ptr<Submission>& submission) {
    const bool present = std::any_of(rows.begin(), rows.end(), [&](const Row& row) {
      return row.version != 0 && row.key == submission->pool_key;
    });
    if (present) submission->outcome.Set(CallOutcome::kAccepted);
    return present;
  });
}

CallOutcome JobRepository::OutcomeOfFailure(const Submission& submission) {
  return submission.uncertain ? CallOutcome::kUnknownOutcome : CallOutcome::kNotAccepted;
}

void JobRepository::ExpireOverdue(TimePoint now, Submissions& batch) {
  std::erase_if(batch, [&](const std::shared_ptr<Submission>& submission) {
    if (now < submission->deadline) return false;
    submission->outcome.Set(OutcomeOfFailure(*submission));
    return true;
  });
}

QCoro::Task<void> JobRepository::Write(Submissions batch) {
  Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
  int refusals = 0;
  while (!batch.empty()) {
    Transaction transaction;
    for (const auto& submission : batch) {
      transaction.conditions.push_back({.key = submission->pool_key});
      transaction.puts.push_back({.key = submission->pool_key, .value = submission->pool.str()});
      transaction.puts.push_back({.key = submission->key, .value = submission->value});
    }
    const TransactionResult result =
        co_await m_context.platform.rows.Transact(std::move(transaction), kWriteTimeout);
    const size_t before = batch.size();
    switch (result.outcome) {
      case TransactionOutcome::kApplied:
        for (const auto& submission : batch) submission->outcome.Set(CallOutcome::kAccepted);
        co_return;
      case TransactionOutcome::kConflict:
        AcceptExisting(result.rows, batch);
        if (batch.size() < before) continue;
        break;
      case TransactionOutcome::kRefused:
        // An earlier attempt may still have stored the uncertain submissions, but not the others.
        if (++refusals < kMaxRefusals) break;
        for (const auto& submission : batch) {
          submission->outcome.Set(OutcomeOfFailure(*submission));
        }
        Log(LogLevel::kWarning, "submissions_refused",
            {{"count", batch.size()}, {"error", result.error}});
        co_return;
      case TransactionOutcome::kUnknown:
        for (const auto& submission : batch) submission->uncertain = true;
        Log(LogLevel::kWarning, "submissions_uncertain",
            {{"count", batch.size()}, {"error", result.error}});
        break;
      case TransactionOutcome::kInvalid: {
        Log(LogLevel::kError, "submissions_invalid",
            {{"count", batch.size()}, {"error", result.error}});
        if (batch.size() == 1) {
          batch.front()->outcome.Set(batch.front()->uncertain ? CallOutcome::kUnknownOutcome
                                                              : CallOutcome::kTooLarge);
          co_return;
        }
        // One of them may be why the store rejects them all.
        const auto middle = batch.begin() + static_cast<std::ptrdiff_t>(batch.size() / 2);
        Submissions second(middle, batch.end());
        batch.erase(middle, batch.end());
        co_await Write(std::move(batch));
        co_await Write(std::move(second));
        co_return;
      }
    }
    ExpireOverdue(m_context.timers.Now(), batch);
    if (!batch.empty()) co_await SleepFor(m_context.timers, backoff.Next());
    ExpireOverdue(m_context.timers.Now(), batch);
  }
}

QCoro::Task<JobLookup> JobRepository::Show(PoolName pool, JobId job) {
  JobLookup lookup = co_await ShowInPool(pool, job);
  if (lookup.kind != JobLookup::Kind::kNoSuchJob) co_return lookup;
  // The queue may have been sent to this pool after the job was accepted in another one.
  const RowKey key = JobPoolKey(job);
  const auto range =
      co_await m_context.platform.rows.Read(key.table, key.partition, key.key, key.key + '\x01');
  if (!range.ok()) co_return JobLookup{};
  if (range->rows.empty() || range->rows.front().value == pool.view()) co_return lookup;
  PoolName accepted_in(range->rows.front().value);
  co_return co_await ShowInPool(std::move(accepted_in), job);
}

QCoro::Task<JobLookup> JobRepository::ShowInPool(PoolName pool, JobId job) {
  RowStore& rows = m_context.platform.rows;
  const RowKey progress_key = ProgressKey(pool, job);
  // Covers the keys of a job: its id, and its id with the suffix of cancellations.
  const std::string end = job.str() + '/';
  const auto progress =
      co_await rows.Read(progress_key.table, progress_key.partition, job.str(), end);
  if (!progress.ok()) co_return JobLookup{};
  JobLookup lookup{.kind = JobLookup::Kind::kFound, .pool = pool};
  if (!progress->rows.empty()) {
    const auto decoded = DecodeProgress(progress->rows.front().value);
    if (!decoded.ok()) {
      Log(LogLevel::kError, "progress_unreadable",
          {{"request", job.view()}, {"error", decoded.ret().message()}});
      co_return JobLookup{};
    }
    lookup.state = decoded->state;
    lookup.team = decoded->team;
    if (scheduling::IsFinal(lookup.state)) co_return lookup;
  }
  const RowKey key = JobKey(pool, job);
  const auto definition = co_await rows.Read(key.table, key.partition, job.str(), end);
  if (!definition.ok()) co_return JobLookup{};
  if (definition->rows.empty() || definition->rows.front().key.key != job.str()) {
    co_return JobLookup{.kind = JobLookup::Kind::kNoSuchJob};
  }
  if (definition->rows.size() > 1) lookup.state = scheduling::JobState::kCancelled;
  if (lookup.team.empty() && !m_context.configuration.Get().teams.empty()) {
    const auto job_definition = DecodeJob(job, definition->rows.front().value);
    if (job_definition.ok()) lookup.team = job_definition->team;
  }
  co_return lookup;
}

QCoro::Task<CallOutcome> JobRepository::Cancel(PoolName pool, JobId job, TeamName team,
                                               TimePoint deadline) {
  RowStore& rows = m_context.platform.rows;
  const JobLookup lookup = co_await Show(pool, job);
  if (lookup.kind == JobLookup::Kind::kNoSuchJob) co_return CallOutcome::kNoSuchJob;
  if (lookup.kind == JobLookup::Kind::kUnknown) co_return CallOutcome::kNotAccepted;
  if (!MayAccess(team, pool, lookup)) co_return CallOutcome::kOtherTeam;
  if (scheduling::IsFinal(lookup.state)) co_return CallOutcome::kCancelled;
  Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
  bool uncertain = false;
  int refusals = 0;
  const Transaction transaction{.puts = {{.key = CancelKey(lookup.pool, job), .value = "{}"}}};
  while (m_context.timers.Now() < deadline - kAnswerMargin) {
    const TransactionResult result = co_await rows.Transact(transaction, kWriteTimeout);
    if (result.outcome == TransactionOutcome::kApplied) co_return CallOutcome::kCancelled;
    uncertain |= result.outcome == TransactionOutcome::kUnknown;
    if (result.outcome == TransactionOutcome::kRefused && ++refusals >= kMaxRefusals) break;
    co_await SleepFor(m_context.timers, backoff.Next());
  }
  co_return uncertain ? CallOutcome::kUnknownOutcome : CallOutcome::kNotAccepted;
}

QCoro::Task<RetVal<int64_t>> JobRepository::CountPending(PoolName pool, QueueName queue) {
  // Without an owner that knows the pool's jobs, the published number is too old.
  const auto owner = m_context.owners.find(pool);
  if (owner == m_context.owners.end() || owner->second.holder.empty() || owner->second.loading ||
      m_context.timers.Now() - owner->second.changed_at > kMaxOwnerAge) {
    co_return Ret(ErrorCode::kUnavailable, "no owner has published the number lately");
  }
  const RowKey key = QueueKey(pool, queue);
  const auto range =
      co_await m_context.platform.rows.Read(key.table, key.partition, key.key, key.key + '\x01');
  if (!range.ok()) co_return range.ret();
  // The owner may be behind with reading the jobs, or its commit may have taken long.
  const std::optional<int64_t> jobs_clock_ms = owner->second.jobs_clock_ms;
  if (jobs_clock_ms && range->clock_ms - *jobs_clock_ms > kMaxJobsAgeMs) {
    co_return Ret(ErrorCode::kUnavailable, "the number leaves out jobs that were accepted since");
  }
  // The owner publishes nothing for a queue that has never had a job.
  if (range->rows.empty()) co_return int64_t{0};
  const auto summary = DecodeQueue(queue, range->rows.front().value);
  if (!summary.ok()) co_return summary.ret();
  co_return summary->pending;
}

}  // namespace citronferry::fleet
