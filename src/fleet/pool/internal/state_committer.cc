#include "fleet/pool/internal/state_committer.h"

#include <utility>

#include "fleet/backoff.h"
#include "fleet/pool/internal/pool_owner.h"
#include "fleet/progress_rows.h"
#include "fleet/run_time_rows.h"
#include "supervision/time_of_day.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::CommitBatch;

// Short enough that the lease (kOwnerLease) is still renewed in time if one attempt is lost.
constexpr Duration kRenewInterval = 600ms;
// Lets the ends of several tasks share a commit; a transaction itself takes about 13 ms.
constexpr Duration kCommitGap = 25ms;
// When the store is slow, its slowest transactions take 600 ms.
constexpr Duration kCommitTimeout = 1s;
constexpr Duration kInitialRetryDelay = 30ms;
constexpr Duration kMaxRetryDelay = 300ms;
// Two entries are needed for the owner row: its condition and its new value. The rows of run times
// may be added to any commit.
constexpr size_t kMaxBatchRows = kMaxTransactionEntries - 2 - kMaxRunTimeRows;
// The last commit also writes the row of the release and those of the handover.
constexpr size_t kMaxLastBatchRows = kMaxBatchRows - 1 - kMaxHandoverRows;
// Leaves space for the rows of run times and of a handover, and for the short rows of a batch.
constexpr size_t kMaxProgressBytes = 600'000;
static_assert(kMaxProgressRows * kMaxRowBytes * 4 / 3 <= kMaxProgressBytes);
constexpr Duration kReleaseTimeout = 1500ms;
// At most 32 KB every 10 s, which takes 1.3 % of a link of 2 Mbit/s. A killed owner loses what it
// learned in this time.
constexpr Duration kRunTimesInterval = 10s;

}  // namespace

StateCommitter::StateCommitter(FleetContext& context, PoolName pool, int64_t epoch,
                               TimePoint acquired_at, scheduling::PoolScheduler& scheduler,
                               std::function<void()> on_committed,
                               const InstanceDirectory* directory)
    : m_context(context),
      m_pool(std::move(pool)),
      m_scheduler(scheduler),
      m_on_committed(std::move(on_committed)),
      m_directory(directory),
      m_version(epoch),
      m_valid_until(acquired_at + kOwnerLease) {}

size_t StateCommitter::RowsOf(const JobId& job, const std::vector<std::string>& values) const {
  const auto stored = m_further_rows.find(job);
  return std::max(values.size(), stored == m_further_rows.end() ? 0 : stored->second + 1);
}

StateCommitter::EncodedBatch StateCommitter::Encode(CommitBatch batch, size_t max_rows) {
  EncodedBatch encoded;
  size_t rows = batch.size() - batch.progress.size();
  size_t bytes = 0;
  for (const auto& [job, progress] : batch.progress) {
    ProgressRows encoded_rows = EncodeProgressRows(progress);
    if (encoded_rows.omitted > 0) {
      Log(LogLevel::kError, "progress_truncated",
          {{"pool", m_pool.view()}, {"request", job.view()}, {"omitted", encoded_rows.omitted}});
    }
    rows += RowsOf(job, encoded_rows.values);
    for (const std::string& value : encoded_rows.values) {
      bytes += EncodedBytes({.key = ProgressKey(m_pool, job), .value = value});
    }
    const bool fits = rows <= max_rows && bytes <= kMaxProgressBytes;
    if (!fits && !encoded.progress.empty()) break;
    encoded.progress.push_back(std::move(encoded_rows.values));
    if (!fits) break;
  }
  const bool whole = encoded.progress.size() == batch.progress.size() && rows <= max_rows;
  if (!whole) m_scheduler.OnCommitFailed(batch.SplitOff(encoded.progress.size()));
  encoded.batch = std::move(batch);
  return encoded;
}

Transaction StateCommitter::MakeTransaction(const EncodedBatch& encoded,
                                            const Release* release) const {
  const CommitBatch& batch = encoded.batch;
  const RowKey owner = OwnerKey(m_pool);
  std::optional<std::vector<InstanceId>> ordered_instances{std::in_place};
  if (m_directory) ordered_instances = m_directory->OrderedInstances();
  const OwnerRecord record{.holder = release ? std::string() : m_context.options.name,
                           .incarnation = m_context.options.incarnation,
                           .commit = m_commit,
                           .relay_key = PublicRelayKey(m_context.options),
                           .address = m_context.relay_address,
                           .loading = !m_loaded,
                           .successor = release ? release->successor : EntryId(),
                           .ordered_instances = std::move(ordered_instances),
                           .jobs_clock_ms = m_jobs_clock_ms};
  Transaction transaction{.conditions = {{.key = owner, .version = m_version}},
                          .puts = {{.key = owner, .value = EncodeOwner(record)}}};
  if (release) {
    transaction.puts.push_back({.key = ReleaseKey(m_pool), .value = EncodeOwner(record)});
    for (size_t i = 0; i < release->handover.size(); ++i) {
      transaction.puts.push_back(
          {.key = HandoverKey(m_pool, static_cast<int>(i)), .value = release->handover[i]});
    }
  }
  for (size_t i = 0; i < batch.progress.size(); ++i) {
    const JobId& job = batch.progress[i].first;
    const std::vector<std::string>& values = encoded.progress[i];
    transaction.puts.push_back({.key = ProgressKey(m_pool, job), .value = values.front()});
    const size_t rows = RowsOf(job, values);
    for (size_t part = 1; part < rows; ++part) {
      const RowKey key = ProgressPartKey(m_pool, job, part);
      if (part < values.size()) {
        transaction.puts.push_back({.key = key, .value = values[part]});
      } else {
        transaction.removals.push_back(key);
      }
    }
  }
  for (const auto& link : batch.links) {
    transaction.puts.push_back({.key = LinkKey(m_pool, link.executor), .value = EncodeLink(link)});
  }
  for (const auto& queue : batch.queues) {
    transaction.puts.push_back({.key = QueueKey(m_pool, queue.queue), .value = EncodeQueue(queue)});
  }
  for (size_t i = 0; i < kMaxRunTimeRows && !batch.run_times.empty(); ++i) {
    const RowKey key = RunTimesKey(m_pool, i);
    if (i < batch.run_times.size()) {
      transaction.puts.push_back({.key = key, .value = batch.run_times[i]});
    } else {
      transaction.removals.push_back(key);
    }
  }
  for (const auto& executor : batch.removed_links) {
    transaction.removals.push_back(LinkKey(m_pool, executor));
  }
  for (const auto& job : batch.removed_jobs) {
    transaction.removals.push_back(ProgressKey(m_pool, job));
  }
  return transaction;
}

void StateCommitter::AddRunTimes(CommitBatch& batch, bool last) const {
  const runtimes::RunTimes& run_times = m_scheduler.run_times();
  if (!m_loaded || run_times.learned_runs() == m_stored_runs) return;
  const TimePoint now = m_context.timers.Now();
  if (!last && m_run_times_stored_at && now - *m_run_times_stored_at < kRunTimesInterval) return;
  batch.run_times = EncodeRunTimes(run_times.state(), UnixMilliseconds());
}

void StateCommitter::OnRunTimesStored(const CommitBatch& batch, int64_t learned_runs) {
  if (batch.run_times.empty()) return;
  const TimePoint now = m_context.timers.Now();
  size_t bytes = 0;
  for (const std::string& row : batch.run_times) bytes += row.size();
  Log(LogLevel::kInfo, "run_times_stored",
      {{"pool", m_pool.view()},
       {"rows", batch.run_times.size()},
       {"bytes", bytes},
       {"runs", learned_runs - m_stored_runs},
       {"replaced_age_ms",
        m_run_times_stored_at ? ToMilliseconds(now - *m_run_times_stored_at) : -1}});
  m_context.metrics
      .Counter("citronferry_fleet_run_time_bytes_total",
               "Bytes of learned run times that were written.", {{"pool", m_pool.str()}})
      .Increment(static_cast<double>(bytes));
  m_stored_runs = learned_runs;
  m_run_times_stored_at = now;
}

void StateCommitter::OnWritten(const EncodedBatch& batch) {
  for (size_t i = 0; i < batch.progress.size(); ++i) {
    const JobId& job = batch.batch.progress[i].first;
    const size_t further_rows = batch.progress[i].size() - 1;
    if (further_rows > 0) {
      m_further_rows[job] = further_rows;
    } else {
      m_further_rows.erase(job);
    }
  }
}

void StateCommitter::LeaveOut(CommitBatch batch, std::string_view error) {
  std::string row = "run times";
  if (!batch.progress.empty()) row = "progress of " + batch.progress.front().first.str();
  if (!batch.links.empty()) row = "link to " + batch.links.front().executor.str();
  if (!batch.queues.empty()) row = "summary of " + batch.queues.front().queue.str();
  Log(LogLevel::kError, "row_rejected", {{"pool", m_pool.view()}, {"row", row}, {"error", error}});
  m_context.metrics
      .Counter("citronferry_fleet_rejected_rows_total",
               "Rows of pool owners that the store rejects.", {{"pool", m_pool.str()}})
      .Increment();
  if (!batch.run_times.empty()) m_stored_runs = m_scheduler.run_times().learned_runs();
  // Without its link an executor is not used. The progress of a job must not keep other ends of the
  // executors that ran it from being acknowledged.
  batch.links.clear();
  batch.progress.clear();
  m_scheduler.OnCommitted(batch);
}

QCoro::Task<Ret> StateCommitter::Commit(CommitBatch batch, StopSignal* stop) {
  const EncodedBatch encoded = Encode(std::move(batch), kMaxBatchRows);
  const int64_t learned_runs = m_scheduler.run_times().learned_runs();
  const Ret ret = co_await CommitOnce(encoded, nullptr, stop);
  if (ret.ok()) {
    m_scheduler.OnCommitted(encoded.batch);
    OnRunTimesStored(encoded.batch, learned_runs);
    co_return ret;
  }
  const size_t rows = encoded.batch.size() + (encoded.batch.run_times.empty() ? 0 : 1);
  if (ret.code() != ErrorCode::kInvalidArgument || rows == 0) {
    m_scheduler.OnCommitFailed(encoded.batch);
    co_return ret;
  }
  if (rows == 1) {
    LeaveOut(encoded.batch, ret.message());
    co_return MakeOk();
  }
  CommitBatch first = encoded.batch;
  CommitBatch rest = first.SplitOff(rows / 2);
  const Ret committed = co_await Commit(std::move(first), stop);
  if (!committed.ok()) {
    m_scheduler.OnCommitFailed(rest);
    co_return committed;
  }
  const Ret rest_committed = co_await Commit(std::move(rest), stop);
  co_return rest_committed;
}

QCoro::Task<Ret> StateCommitter::CommitOnce(const EncodedBatch& batch, const Release* release,
                                            StopSignal* stop) {
  ++m_commit;
  const Transaction transaction = MakeTransaction(batch, release);
  const TimePoint first_sent_at = m_context.timers.Now();
  Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
  bool retried = false;
  while (true) {
    const TimePoint sent_at = m_context.timers.Now();
    const TransactionResult result =
        co_await m_context.platform.rows.Transact(transaction, kCommitTimeout);
    const bool applied = result.outcome == TransactionOutcome::kApplied;
    if (applied) {
      m_version = result.version;
      m_valid_until = sent_at + kOwnerLease;
      m_jobs_view.OnCommitted(result.version, result.clock_ms, sent_at);
    } else if (result.outcome == TransactionOutcome::kConflict) {
      const auto owner = result.rows.empty()
                             ? RetVal<OwnerRecord>(Ret(ErrorCode::kNotFound, "no owner row"))
                             : DecodeOwner(result.rows.front().value);
      // An earlier attempt may have been applied although its response was lost.
      const bool own_commit = owner.ok() && owner->incarnation == m_context.options.incarnation &&
                              owner->commit == m_commit;
      if (!own_commit) co_return Ret(ErrorCode::kConflict, "another entry owns the pool");
      m_version = result.rows.front().version;
      m_valid_until = std::max(m_valid_until, first_sent_at + kOwnerLease);
    } else if (result.outcome == TransactionOutcome::kInvalid) {
      co_return Ret(ErrorCode::kInvalidArgument, "the store rejects the commit: " + result.error);
    } else {
      if (!std::exchange(retried, true)) {
        Log(LogLevel::kWarning, "commit_retried",
            {{"pool", m_pool.view()}, {"commit", m_commit}, {"error", result.error}});
      }
      if (stop && stop->requested()) co_return Ret(ErrorCode::kCancelled, "stopped");
      co_await SleepFor(m_context.timers, backoff.Next(), stop);
      continue;
    }
    if (retried)
      Log(LogLevel::kInfo, "commit_recovered", {{"pool", m_pool.view()}, {"commit", m_commit}});
    OnWritten(batch);
    m_context.store_answered_at = m_context.timers.Now();
    m_context.metrics
        .LatencyHistogram("citronferry_fleet_commit_seconds",
                          "Time until an owner's commit was durable, with its repetitions.")
        .Observe(ToSeconds(m_context.timers.Now() - first_sent_at));
    co_return MakeOk();
  }
}

QCoro::Task<bool> StateCommitter::CommitAgain() {
  if (m_ended) co_return false;
  const auto awaited = std::make_shared<AwaitedCommit>();
  awaited->number = m_commit + 1;
  m_awaited.push_back(awaited);
  Wake();
  const bool durable = co_await awaited->durable.Wait();
  co_return durable;
}

void StateCommitter::ResumeAwaited(bool durable) {
  std::erase_if(m_awaited, [&](const std::shared_ptr<AwaitedCommit>& awaited) {
    if (durable && awaited->number > m_commit) return false;
    awaited->durable.Set(durable);
    return true;
  });
}

QCoro::Task<Ret> StateCommitter::Run(StopSignal& stop) {
  const Ret ret = co_await CommitUntilStopped(stop);
  m_ended = true;
  ResumeAwaited(false);
  co_return ret;
}

QCoro::Task<Ret> StateCommitter::CommitUntilStopped(StopSignal& stop) {
  Subscription woken = stop.Subscribe([this] { Wake(); });
  while (!stop.requested()) {
    m_jobs_clock_ms = m_jobs_view.clock_ms();
    CommitBatch batch = m_scheduler.TakeCommit(kMaxBatchRows);
    AddRunTimes(batch, false);
    const Ret ret = co_await Commit(std::move(batch), &stop);
    if (!ret.ok()) co_return stop.requested() ? MakeOk() : ret;
    ResumeAwaited(true);
    m_on_committed();
    co_await SleepFor(m_context.timers, kCommitGap, &stop);
    while (m_wake.size() > 0) co_await m_wake.Next();
    if (!m_scheduler.has_dirty() && m_awaited.empty() && !stop.requested()) {
      co_await m_wake.Next(m_context.timers, kRenewInterval);
    }
  }
  co_return MakeOk();
}

QCoro::Task<void> StateCommitter::ReleaseOwnership(
    EntryId successor, std::function<std::vector<std::string>()> handover) {
  const TimePoint deadline = m_context.timers.Now() + kReleaseTimeout;
  while (m_context.timers.Now() < deadline) {
    StopSignal stopped;
    stopped.Request();
    EncodedBatch encoded = Encode(m_scheduler.TakeCommit(kMaxLastBatchRows), kMaxLastBatchRows);
    if (m_scheduler.has_dirty()) {
      const Ret ret = co_await Commit(std::move(encoded.batch), &stopped);
      if (!ret.ok()) co_return;
      continue;
    }
    AddRunTimes(encoded.batch, true);
    Release release{.successor = successor};
    release.handover = handover();
    const int64_t learned_runs = m_scheduler.run_times().learned_runs();
    Ret ret = co_await CommitOnce(encoded, &release, &stopped);
    if (ret.ok()) OnRunTimesStored(encoded.batch, learned_runs);
    if (ret.code() == ErrorCode::kInvalidArgument) {
      // The successor finds what is left out as after the loss of an owner.
      Log(LogLevel::kError, "release_rejected",
          {{"pool", m_pool.view()}, {"error", ret.message()}});
      const EncodedBatch nothing;
      release.handover.clear();
      ret = co_await CommitOnce(nothing, &release, &stopped);
    }
    co_return;
  }
}

}  // namespace citronferry::fleet
