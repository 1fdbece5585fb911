#include "decisions/jobs/job_claimer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/rendezvous.h"

namespace citronferry::jobs {

std::vector<Action> JobClaimer::Handle(const Event& event, TimePoint now) {
  using Handler = void (JobClaimer::*)(const Event&);
  // In the order of the alternatives of Event.
  static constexpr std::array<Handler, std::variant_size_v<Event>> kHandlers{
      &JobClaimer::OnFeedRead, &JobClaimer::OnRosterChanged, &JobClaimer::OnQueuesChanged,
      &JobClaimer::OnTryEnded};
  m_now = now;
  (this->*kHandlers[event.index()])(event);
  return std::exchange(m_actions, {});
}

void JobClaimer::OnFeedRead(const Event& event) {
  // After an outage of the store or a pause of this process, holders may have had no chance to
  // renew, or their renewals have not been read.
  if (m_now - m_last_read > m_options.longest_gap) {
    for (auto& [id, entry] : m_jobs) entry.seen = m_now;
  }
  m_last_read = m_now;
  for (const JobRow& row : std::get<FeedRead>(event).rows) {
    const auto known = m_jobs.find(row.id);
    if (row.deleted || row.job.state == State::kEnded) {
      if (known == m_jobs.end()) continue;
      if (known->second.active) --m_active;
      m_jobs.erase(known);
      continue;
    }
    Entry& entry = m_jobs[row.id];
    if (entry.row.version < row.version) {
      entry.row = row;
      entry.seen = m_now;
    }
  }
  for (auto& [id, entry] : m_jobs) Decide(entry);
}

void JobClaimer::OnRosterChanged(const Event& event) {
  m_roster = std::get<RosterChanged>(event).entries;
}

void JobClaimer::OnQueuesChanged(const Event& event) {
  m_queues = std::get<QueuesChanged>(event).queues;
  m_configured = true;
}

void JobClaimer::OnTryEnded(const Event& event) {
  const auto found = m_jobs.find(std::get<TryEnded>(event).id);
  if (found == m_jobs.end() || !found->second.active) return;
  found->second.active = false;
  --m_active;
  found->second.not_before = m_now + m_options.retry_delay;
}

void JobClaimer::Decide(Entry& entry) {
  if (entry.active || m_now < entry.not_before) return;
  const auto rules = m_queues.find(entry.row.job.queue);
  if (rules == m_queues.end()) return DecideUndeclared(entry);
  entry.undeclared_since = {};
  if (!IsDue(entry)) return;
  const Job& job = entry.row.job;
  if (job.state == State::kClaimed && !rules->second.idempotent) {
    return End(entry, requests::Outcome::kUnknown, "the entry that ran the job was lost");
  }
  if (job.attempts >= rules->second.max_attempts) {
    return End(entry, requests::Outcome::kUnknown,
               "no answer after " + std::to_string(job.attempts) + " attempts");
  }
  Try(entry);
}

void JobClaimer::DecideUndeclared(Entry& entry) {
  if (!m_configured) return;
  if (entry.undeclared_since == TimePoint{}) entry.undeclared_since = m_now;
  if (m_now - entry.undeclared_since < m_options.undeclared || !IsDue(entry)) return;
  if (entry.row.job.state == State::kClaimed) {
    return End(entry, requests::Outcome::kUnknown, "the entry that ran the job was lost");
  }
  // An idempotent job may have run without an answer before its queue was removed.
  if (entry.row.job.attempts > 0) {
    return End(entry, requests::Outcome::kUnknown, "the queue is not declared any more");
  }
  End(entry, requests::Outcome::kFailed, "the queue is not declared any more; the job was not run");
}

bool JobClaimer::IsDue(const Entry& entry) const {
  const auto rank = static_cast<int64_t>(RankOfSelf(entry.row.id));
  const Duration lease =
      entry.row.job.state == State::kClaimed ? Duration(kLeaseDuration) : Duration::zero();
  return m_now - entry.seen >= lease + rank * m_options.stagger;
}

size_t JobClaimer::RankOfSelf(const JobId& id) const {
  const uint64_t own = RendezvousWeight(m_self.view(), id.view());
  return static_cast<size_t>(
      std::count_if(m_roster.begin(), m_roster.end(), [&](const EntryId& other) {
        return other != m_self && RendezvousWeight(other.view(), id.view()) > own;
      }));
}

void JobClaimer::Try(Entry& entry) {
  if (m_active >= m_options.max_tries) return;
  entry.active = true;
  ++m_active;
  m_actions.push_back(TryJob{entry.row});
}

void JobClaimer::End(Entry& entry, requests::Outcome outcome, std::string reason) {
  entry.not_before = m_now + m_options.retry_delay;
  requests::Answer answer{.outcome = outcome, .reason = std::move(reason)};
  m_actions.push_back(EndJob{.row = entry.row, .answer = std::move(answer)});
}

}  // namespace citronferry::jobs
