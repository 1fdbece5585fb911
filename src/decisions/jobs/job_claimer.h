#ifndef CITRONFERRY_DECISIONS_JOBS_JOB_CLAIMER_H_
#define CITRONFERRY_DECISIONS_JOBS_JOB_CLAIMER_H_

#include <map>
#include <variant>
#include <vector>

#include "base/time.h"
#include "decisions/jobs/types.h"

namespace citronferry::jobs {

/// Another entry may take over a claim on a job that was not renewed for this long.
inline constexpr Duration kLeaseDuration = 30s;
/// Time between two renewals of a claim.
inline constexpr Duration kRenewPeriod = 10s;
/// The holder starts no run when less than this is left of its lease.
inline constexpr Duration kLeaseMargin = 2s;

/// Settings of a durable queue that decide whether a job may run again.
struct QueueRules {
  bool idempotent = false;  ///< A job whose holder was lost may run again.
  int max_attempts = 3;     ///< Claims of a job before it ends with an unknown outcome.
};

// Events.

/// The change feed was read: the rows that changed since the last read, possibly none.
struct FeedRead {
  std::vector<JobRow> rows;
};
/// All entries of the roster, self included.
struct RosterChanged {
  std::vector<EntryId> entries;
};
/// All durable queues that the active configuration declares.
struct QueuesChanged {
  std::map<QueueName, QueueRules> queues;
};
/// The task that TryJob started on this entry has ended, whether or not it ran the job.
struct TryEnded {
  JobId id;
};
using Event = std::variant<FeedRead, RosterChanged, QueuesChanged, TryEnded>;

// Actions.

/// Wait for a slot, claim the job and run it. Answered by TryEnded.
struct TryJob {
  JobRow row;
};
/// Record the answer of a job without running it.
struct EndJob {
  JobRow row;
  requests::Answer answer;
};
using Action = std::variant<TryJob, EndJob>;

/// Limits and delays of one entry's JobClaimer.
struct JobClaimerOptions {
  size_t max_concurrent_tries = 32;     ///< Jobs that this entry tries at the same time.
  Duration stagger = 3s;                ///< Extra delay of each rank before it tries a job.
  Duration retry_delay = 2s;            ///< Pause after a try and after EndJob.
  Duration undeclared_timeout = 10min;  ///< Jobs of a queue that is missing this long end.
  /// After a longer gap between reads, the leases of all known claims are counted anew.
  Duration max_read_gap = 5s;
};

/// Decides for one entry which durable jobs to claim and run, to take over from a lost holder, or
/// to end without a run.
///
/// All entries read the same rows. A rendezvous hash ranks the entries for each job, and each rank
/// waits a little longer, so that usually only one of them tries. Safety does not depend on this:
/// every write is conditional on the version of the row, so of two entries at most one succeeds.
class JobClaimer {
 public:
  explicit JobClaimer(EntryId self, JobClaimerOptions options = {})
      : m_self(std::move(self)), m_options(options) {}

  /// @param event what happened.
  /// @param now monotonic time; it must not decrease between calls.
  /// @return what the caller has to do, in this order.
  std::vector<Action> Handle(const Event& event, TimePoint now);
  /// @return the number of jobs that have not ended.
  size_t open_count() const { return m_jobs.size(); }

 private:
  struct TrackedJob {
    JobRow row;
    TimePoint first_seen;          // When this version of the row was first read.
    TimePoint not_before{};        // Earliest next try.
    bool active = false;           // A task of this entry is trying the job.
    TimePoint undeclared_since{};  // Zero while the queue is declared.
  };

  void OnFeedRead(const Event& event);
  void OnRosterChanged(const Event& event);
  void OnQueuesChanged(const Event& event);
  void OnTryEnded(const Event& event);

  void Decide(TrackedJob& tracked);
  void DecideUndeclared(TrackedJob& tracked);
  bool IsDue(const TrackedJob& tracked) const;
  /// @return the number of other entries that are ranked before this one for the job.
  size_t RankOfSelf(const JobId& id) const;
  void Try(TrackedJob& tracked);
  void End(TrackedJob& tracked, requests::Outcome outcome, std::string reason);

  EntryId m_self;
  JobClaimerOptions m_options;
  std::map<JobId, TrackedJob> m_jobs;
  std::map<QueueName, QueueRules> m_queues;
  bool m_configured = false;  // A configuration was read.
  std::vector<EntryId> m_roster;
  size_t m_active_tries = 0;
  TimePoint m_last_read{};
  TimePoint m_now{};
  std::vector<Action> m_actions;
};

}  // namespace citronferry::jobs

#endif  // CITRONFERRY_DECISIONS_JOBS_JOB_CLAIMER_H_
