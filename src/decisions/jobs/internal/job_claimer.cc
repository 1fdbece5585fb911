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
  // During an outage of the store or a pause of this process, holders may not have been able to
  // renew their claims, or the renewals were not read. Their leases are therefore counted from now.
  if (m_now - m_last_read > m_options.max_read_gap) {
    for (auto& [id, tracked] : m_jobs) tracked.first_seen = m_now;
  }
  m_last_read = m_now;
  for (const JobRow& row : std::get<FeedRead>(event).rows) {
    const auto known = m_jobs.find(row.id);
    if (row.deleted || row.job.state == State::kEnded) {
      if (known == m_jobs.end()) continue;
      if (known->second.active) --m_active_tries;
      m_jobs.erase(known);
      continue;
    }
    TrackedJob& tracked = m_jobs[row.id];
    if (tracked.row.version < row.version) {
      tracked.row = row;
      tracked.first_seen = m_now;
    }
  }
  for (auto& [id, tracked] : m_jobs) Decide(tracked);
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
  --m_active_tries;
  found->second.not_before = m_now + m_options.retry_delay;
}

void JobClaimer::Decide(TrackedJob& tracked) {
  if (tracked.active || m_now < tracked.not_before) return;
  const auto rules = m_queues.find(tracked.row.job.queue);
  if (rules == m_queues.end()) return DecideUndeclared(tracked);
  tracked.undeclared_since = {};
  if (!IsDue(tracked)) return;
  const Job& job = tracked.row.job;
  if (job.state == State::kClaimed && !rules->second.idempotent) {
    return End(tracked, requests::Outcome::kUnknown, "the entry that ran the job was lost");
  }
  if (job.attempts >= rules->second.max_attempts) {
    return End(tracked, requests::Outcome::kUnknown,
               "no answer after " + std::to_string(job.attempts) + " attempts");
  }
  Try(tracked);
}

void JobClaimer::DecideUndeclared(TrackedJob& tracked) {
  if (!m_configured) return;
  if (tracked.undeclared_since == TimePoint{}) tracked.undeclared_since = m_now;
  if (m_now - tracked.undeclared_since < m_options.undeclared_timeout || !IsDue(tracked)) return;
  if (tracked.row.job.state == State::kClaimed) {
    return End(tracked, requests::Outcome::kUnknown, "the entry that ran the job was lost");
  }
  // An idempotent job may have run without a recorded answer before its queue was removed.
  if (tracked.row.job.attempts > 0) {
    return End(tracked, requests::Outcome::kUnknown, "the queue is not declared any more");
  }
  End(tracked, requests::Outcome::kFailed,
      "the queue is not declared any more; the job was not run");
}

bool JobClaimer::IsDue(const TrackedJob& tracked) const {
  const auto rank = static_cast<int64_t>(RankOfSelf(tracked.row.id));
  const Duration lease =
      tracked.row.job.state == State::kClaimed ? Duration(kLeaseDuration) : Duration::zero();
  return m_now - tracked.first_seen >= lease + rank * m_options.stagger;
}

size_t JobClaimer::RankOfSelf(const JobId& id) const {
  const uint64_t own = RendezvousWeight(m_self.view(), id.view());
  return static_cast<size_t>(
      std::count_if(m_roster.begin(), m_roster.end(), [&](const EntryId& other) {
        return other != m_self && RendezvousWeight(other.view(), id.view()) > own;
      }));
}

void JobClaimer::Try(TrackedJob& tracked) {
  if (m_active_tries >= m_options.max_concurrent_tries) return;
  tracked.active = true;
  ++m_active_tries;
  m_actions.push_back(TryJob{tracked.row});
}

void JobClaimer::End(TrackedJob& tracked, requests::Outcome outcome, std::string reason) {
  tracked.not_before = m_now + m_options.retry_delay;
  requests::Answer answer{.outcome = outcome, .reason = std::move(reason)};
  m_actions.push_back(EndJob{.row = tracked.row, .answer = std::move(answer)});
}

}  // namespace citronferry::jobs
