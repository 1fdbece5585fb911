// PoolScheduler: collects state changes for commits and applies the results.
#include <algorithm>
#include <iterator>
#include <utility>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {

CommitBatch CommitBatch::SplitOff(size_t rows) {
  CommitBatch rest;
  const auto split = [&rows](auto& from, auto& to) {
    const size_t kept = std::min(rows, from.size());
    rows -= kept;
    const auto first = from.begin() + static_cast<std::ptrdiff_t>(kept);
    std::move(first, from.end(), std::back_inserter(to));
    from.erase(first, from.end());
  };
  split(progress, rest.progress);
  split(removed_links, rest.removed_links);
  split(removed_jobs, rest.removed_jobs);
  split(queues, rest.queues);
  split(links, rest.links);
  rest.settled = std::exchange(settled, {});
  rest.run_times = std::exchange(run_times, {});
  return rest;
}

bool PoolScheduler::has_dirty() const {
  return !m_dirty_jobs.empty() || !m_dirty_links.empty() || !m_removed_links.empty() ||
         !m_removed_jobs.empty() || !m_unsettled.empty();
}

std::pair<int64_t, int64_t> PoolScheduler::CountPending() const {
  std::pair<int64_t, int64_t> counts;
  for (const JobId& id : m_open_jobs) {
    const Job& job = *m_jobs.at(id);
    if (job.begun() || job.scheduled()) continue;
    ++counts.first;
    if (job.state() != JobState::kQueued) ++counts.second;
  }
  return counts;
}

std::vector<QueueSummary> PoolScheduler::SummariseQueues() const {
  std::map<QueueName, int64_t> pending;
  for (const auto& [queue, count] : m_published_pending) pending[queue] = 0;
  for (const JobId& id : m_open_jobs) {
    const Job& job = *m_jobs.at(id);
    if (!job.begun() && !job.scheduled()) ++pending[job.definition()->queue];
  }
  std::vector<QueueSummary> changed;
  for (const auto& [queue, count] : pending) {
    const auto published = m_published_pending.find(queue);
    if (published == m_published_pending.end() || published->second != count) {
      changed.push_back({.queue = queue, .pending = count});
    }
  }
  return changed;
}

CommitBatch PoolScheduler::TakeCommit(size_t max_rows) {
  CommitBatch batch;
  batch.queues = SummariseQueues();
  if (batch.queues.size() > max_rows) batch.queues.resize(max_rows);
  const auto room = [&] { return batch.size() < max_rows; };
  while (room() && !m_dirty_jobs.empty()) {
    const auto next = m_dirty_jobs.upper_bound(m_last_taken_job);
    const auto taken = next == m_dirty_jobs.end() ? m_dirty_jobs.begin() : next;
    m_last_taken_job = *taken;
    m_dirty_jobs.erase(taken);
    if (const Job* job = FindJob(m_last_taken_job)) {
      batch.progress.emplace_back(m_last_taken_job, job->Progress());
    }
  }
  while (room() && !m_removed_links.empty()) {
    batch.removed_links.push_back(*m_removed_links.begin());
    m_removed_links.erase(m_removed_links.begin());
  }
  while (room() && !m_removed_jobs.empty()) {
    batch.removed_jobs.push_back(*m_removed_jobs.begin());
    m_removed_jobs.erase(m_removed_jobs.begin());
  }
  // Both tell that ends were applied, so they may be committed only with or after the progress of
  // the jobs concerned.
  if (!m_dirty_jobs.empty()) return batch;
  for (const ExecutorId& id : std::exchange(m_unsettled, {})) {
    if (const ExecutorState* executor = FindExecutor(id)) {
      batch.settled.push_back({.executor = id,
                               .incarnation_unix_ms = executor->info.incarnation_unix_ms,
                               .applied_end = executor->applied_end});
    }
  }
  while (room() && !m_dirty_links.empty()) {
    const ExecutorId id = *m_dirty_links.begin();
    m_dirty_links.erase(m_dirty_links.begin());
    if (const ExecutorState* executor = FindExecutor(id)) {
      batch.links.push_back({.executor = id,
                             .address = executor->info.address,
                             .incarnation_unix_ms = executor->info.incarnation_unix_ms,
                             .applied_end = executor->applied_end,
                             .restarted = !executor->past_incarnations.empty()});
    }
  }
  return batch;
}

void PoolScheduler::OnCommitted(const CommitBatch& batch) {
  for (const LinkRecord& link : batch.links) {
    ExecutorState* executor = FindExecutor(link.executor);
    if (!executor || executor->info.incarnation_unix_ms != link.incarnation_unix_ms) continue;
    if (!std::exchange(executor->link_durable, true)) m_plan_needed = true;
  }
  for (const SettledEnds& ends : batch.settled) {
    ExecutorState* executor = FindExecutor(ends.executor);
    if (!executor || executor->info.incarnation_unix_ms != ends.incarnation_unix_ms) continue;
    executor->durable_end = std::max(executor->durable_end, ends.applied_end);
  }
  for (const QueueSummary& queue : batch.queues) m_published_pending[queue.queue] = queue.pending;
  for (const auto& [id, progress] : batch.progress) {
    if (IsFinal(progress.state)) Note("state_durable", {.job = id}, 0, {});
  }
}

std::vector<JobId> PoolScheduler::TakeExpiredJobs() {
  std::vector<JobId> expired(m_expired_jobs.begin(), m_expired_jobs.end());
  m_expired_jobs.clear();
  return expired;
}

void PoolScheduler::OnDefinitionsRemoved(std::span<const JobId> jobs) {
  m_removed_jobs.insert(jobs.begin(), jobs.end());
}

void PoolScheduler::OnRemovalFailed(std::span<const JobId> jobs) {
  m_expired_jobs.insert(jobs.begin(), jobs.end());
}

void PoolScheduler::OnCommitFailed(const CommitBatch& batch) {
  for (const auto& [id, progress] : batch.progress) m_dirty_jobs.insert(id);
  for (const LinkRecord& link : batch.links) m_dirty_links.insert(link.executor);
  for (const SettledEnds& ends : batch.settled) m_unsettled.insert(ends.executor);
  for (const ExecutorId& id : batch.removed_links) {
    const ExecutorState* executor = FindExecutor(id);
    if (!executor || !executor->listed) m_removed_links.insert(id);
  }
  for (const JobId& id : batch.removed_jobs) m_removed_jobs.insert(id);
}

}  // namespace citronferry::scheduling
