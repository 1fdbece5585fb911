#ifndef CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_STATE_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_STATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

class Job;

/// A run as its executor keeps it; the run itself is in the task.
struct RunRef {
  Job* job = nullptr;
  TaskId task;
  int64_t run = 0;
};

/// Judges an executor by the ends of its tasks, since its own health answer may be good while it
/// fails all that it starts.
class ExecutorHealth {
 public:
  void RecordDone();
  /// @param executor_suspected false if the task fails elsewhere too.
  void RecordFailure(const JobId& job, bool executor_suspected, TimePoint now);
  /// Takes the executor out for a while.
  void Quarantine(TimePoint now);
  /// @return whether no new task may be placed.
  bool quarantined(TimePoint now) const { return now < m_quarantined_until; }
  /// @return whether it came out of quarantine and has not done a task since.
  bool on_probation() const { return m_quarantines > 0; }

 private:
  int m_failures = 0;  // In a row.
  JobId m_last_failed_job;
  bool m_several_jobs = false;
  int m_quarantines = 0;  // In a row.
  TimePoint m_quarantined_until{};
};

/// What the owner of a pool knows of an executor.
struct ExecutorState {
  ExecutorDescription info;
  bool listed = false;        ///< The registry lists it.
  bool link_durable = false;  ///< A successor would know it; needed before the first order.
  bool reported = false;      ///< It has answered this owner.
  bool responding = false;    ///< It answered the last call.
  bool contacted = false;     ///< This owner has called it, with or without an answer.
  bool inherited = false;     ///< A previous owner may have started tasks on it.
  bool cordoned = false;      ///< It is emptied for maintenance or a move.
  std::optional<TimePoint> unlisted_since;
  std::optional<TimePoint> listed_at;
  int64_t applied_end = 0;  ///< The last end that was taken into account.
  int64_t durable_end = 0;  ///< The last end whose effect is durable.
  Resources used;
  std::vector<RunRef> runs;
  TimePoint lease_bound{};  ///< Nothing runs there after this, unless the lease is extended.
  TimePoint no_capacity_until{};
  int best_effort_pace_percent = 100;  ///< Share at which tasks on leftover CPU may work here.
  ExecutorHealth health;

  Resources free() const { return info.capacity - used; }
  /// @return how many of its runs are of lasting tasks.
  int long_running_tasks() const;
  /// @return whether new tasks may be placed.
  bool Usable(TimePoint now) const;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_STATE_H_
