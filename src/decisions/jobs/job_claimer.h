#ifndef CITRONFERRY_DECISIONS_JOBS_JOB_CLAIMER_H_
#define CITRONFERRY_DECISIONS_JOBS_JOB_CLAIMER_H_

#include <map>
#include <variant>
#include <vector>

#include "base/time.h"
#include "decisions/jobs/types.h"

namespace citronferry::jobs {

/// A claim that was not renewed for this long may be taken over.
inline constexpr Duration kLeaseDuration = 30s;
inline constexpr Duration kRenewPeriod = 10s;
/// The holder starts nothing in the last part of its lease.
inline constexpr Duration kLeaseMargin = 2s;

struct QueueRules {
  bool idempotent = false;
  int max_attempts = 3;
};

// Events.

/// Rows that changed since the last read of the change feed, possibly none.
struct FeedRead {
  std::vector<JobRow> rows;
};
struct RosterChanged {
  std::vector<EntryId> entries;
};
/// The durable queues that the document declares.
struct QueuesChanged {
  std::map<QueueName, QueueRules> queues;
};
/// This entry's task for a job has ended, whether or not the job has.
struct TryEnded {
  JobId id;
};
using Event = std::variant<FeedRead, RosterChanged, QueuesChanged, TryEnded>;

// Actions.

/// Wait for a slot, claim the job and run it.
struct TryJob {
  JobRow row;
};
/// Record an answer without running the job.
struct EndJob {
  JobRow row;
  requests::Answer answer;
};
using Action = std::variant<TryJob, EndJob>;

struct JobClaimerOptions {
  size_t max_concurrent_tries = 32;  ///< Jobs that this entry tries at the same time.
  Duration stagger = 3s;             ///< Head start of each entry over the next one in the ranking.
  Duration retry_delay = 2s;         ///< Pause after a try that did not run the job.
  Duration undeclared_timeout = 10min;  ///< A queue that is missing for this long is gone for good.
  Duration max_read_gap = 5s;  ///< A longer gap between reads says nothing about the holders.
};

/// Decides, for one entry, which durable jobs to try, to take over, or to end. Every change that it
/// asks for is conditional on the version of the row, so two boards never both succeed.
class JobClaimer {
 public:
  explicit JobClaimer(EntryId self, JobClaimerOptions options = {})
      : m_self(std::move(self)), m_options(options) {}

  std::vector<Action> Handle(const Event& event, TimePoint now);
  /// @return jobs that have not ended.
  size_t open_count() const { return m_jobs.size(); }

 private:
  struct TrackedJob {
    JobRow row;
    TimePoint first_seen;    // When this version was first seen.
    TimePoint not_before{};  // Earliest next try.
    bool active = false;     // A task of this entry works on the job.
    TimePoint undeclared_since{};
  };

  void OnFeedRead(const Event& event);
  void OnRosterChanged(const Event& event);
  void OnQueuesChanged(const Event& event);
  void OnTryEnded(const Event& event);

  void Decide(TrackedJob& tracked);
  void DecideUndeclared(TrackedJob& tracked);
  bool IsDue(const TrackedJob& tracked) const;
  size_t RankOfSelf(const JobId& id) const;
  void Try(TrackedJob& tracked);
  void End(TrackedJob& tracked, requests::Outcome outcome, std::string reason);

  EntryId m_self;
  JobClaimerOptions m_options;
  std::map<JobId, TrackedJob> m_jobs;
  std::map<QueueName, QueueRules> m_queues;
  bool m_configured = false;
  std::vector<EntryId> m_roster;
  size_t m_active_tries = 0;
  TimePoint m_last_read{};
  TimePoint m_now{};
  std::vector<Action> m_actions;
};

}  // namespace citronferry::jobs

#endif  // CITRONFERRY_DECISIONS_JOBS_JOB_CLAIMER_H_
