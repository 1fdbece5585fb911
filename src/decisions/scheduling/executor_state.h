#ifndef CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_STATE_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/start_window.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

class Job;

/// Refers to a run from its executor. The Run itself is stored in its Task.
struct RunRef {
  Job* job = nullptr;
  TaskId task;
  int64_t run = 0;
};

/// Quarantines an executor according to the results of its tasks, since an executor may report
/// itself healthy while every task on it fails.
class ExecutorHealth {
 public:
  /// Records a successful run, which resets the failures and ends the probation.
  void RecordDone();
  /// Records that a long-running task has become ready. As it does not end, this is what shows that
  /// the executor works.
  /// @param ordered_at when its run was ordered; runs from before a quarantine show nothing.
  void RecordReady(TimePoint ordered_at);
  /// Records a failed run and quarantines the executor if the failures point to it.
  /// @param job the job of the failed task.
  /// @param executor_suspected false if the job's tasks fail on other executors too.
  void RecordFailure(const JobId& job, bool executor_suspected, TimePoint now);
  /// Keeps new tasks off the executor for 2 s, doubled with each further quarantine up to 8 s. Has
  /// no effect during a quarantine.
  void Quarantine(TimePoint now);
  /// @return whether new tasks are kept off the executor.
  bool quarantined(TimePoint now) const { return now < m_quarantined_until; }
  /// @return whether the executor has been quarantined and no task has succeeded since.
  bool on_probation() const { return m_quarantines > 0; }

 private:
  int m_failures = 0;  // Consecutive.
  JobId m_last_failed_job;
  bool m_several_jobs = false;  // The consecutive failures are of more than one job.
  int m_quarantines = 0;        // Since the last successful run.
  TimePoint m_quarantined_until{};
};

/// State of an executor as known to the owner of its pool.
struct ExecutorState {
  ExecutorDescription info;
  bool listed = false;        ///< It is in the registry.
  bool link_durable = false;  ///< A successor finds its link; required before the first order.
  /// Number of its known incarnation; no other one of any executor has it during this ownership.
  int64_t incarnation_number = 0;
  /// Its known incarnation has sent a complete report to this owner, so all of its runs are known.
  bool reported = false;
  /// A call to a previous incarnation may extend the lease of this one, on the wrong clock, until
  /// this one has a token of its own.
  bool lease_uncertain = false;
  /// Number of times that the owner has asked for earlier calls to be rejected. ExecutorSession
  /// begins a fencing token for each.
  int64_t fences = 0;
  /// Value of fences from which on the executor may be given starts, leases and acknowledgements.
  int64_t required_fences = 0;
  int64_t answered_fences = 0;  ///< Value of fences for the token of its last report.
  bool awaits_token = false;    ///< It has not answered a call with its new token yet.
  /// When this owner learned of the known incarnation, if it is not the first one.
  TimePoint incarnation_known_at{};
  TimePoint report_requested_at{};  ///< When its last complete report was requested.
  /// When the last call without a response was made while the executor was not responding.
  TimePoint unanswered_call_at{};
  bool report_wanted = false;  ///< The next report is to be returned without waiting.
  bool responding = false;     ///< It answered the last call.
  bool contacted = false;      ///< This owner has called it, whether or not it answered.
  /// A previous owner may have acknowledged ends of the known incarnation.
  bool taken_over = false;
  bool inherited = false;  ///< A previous owner may have started tasks on it.
  bool cordoned = false;   ///< No new tasks: it is drained for maintenance or a move.
  std::optional<TimePoint> unlisted_since;
  std::optional<TimePoint> listed_at;
  std::vector<int64_t> past_incarnations;  ///< Start times of those that have ended.
  /// Start time in the registry that was later than the known one before the first report to this
  /// owner, which tells whether that incarnation has ended.
  std::optional<int64_t> undecided_incarnation;
  int64_t applied_end = 0;  ///< Number of the last run end that was processed.
  int64_t durable_end = 0;  ///< Number of the last run end whose effect is durable.
  Resources used;           ///< Charged to its runs.
  std::vector<RunRef> runs;
  TimePoint lease_bound{};  ///< No run is left after this time, unless the lease is extended.
  TimePoint no_capacity_until{};
  StartWindow start_window;
  int best_effort_pace_percent = 100;  ///< Capacity share allowed to best-effort tasks.
  ExecutorHealth health;

  Resources free() const { return info.capacity - used; }
  /// @return the number of runs of long-running tasks.
  int long_running_tasks() const;
  /// @return whether new tasks may be placed.
  bool Usable(TimePoint now) const;
  /// @return whether it runs nothing and the effects of all that has run are durable, so that
  ///   nothing is lost with it.
  bool IsEmpty() const { return reported && runs.empty() && durable_end >= applied_end; }

 private:
  /// @return whether a run may still show that the executor, which is on probation, does not work.
  bool IsOnTrial(const RunRef& ref, TimePoint now) const;
};

/// @return the numbers of the last applied and of the last durable end, for the log.
std::string DescribeEnds(const ExecutorState& executor);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_STATE_H_
