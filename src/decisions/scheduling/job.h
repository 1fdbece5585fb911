#ifndef CITRONFERRY_DECISIONS_SCHEDULING_JOB_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/step_tickets.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Progress that a long-running task reports once it is ready.
inline constexpr int kReadyPercent = 100;

enum class RunPhase {
  kOrdered,  ///< Start ordered, not confirmed by the executor.
  kRunning,
  kStopping,  ///< Stop ordered; occupies capacity until the executor reports its end.
};

/// An execution of a task on an executor.
struct Run {
  int64_t id = 0;
  ExecutorId executor;
  RunPhase phase = RunPhase::kOrdered;
  TimePoint ordered_at{};
  /// When the executor confirmed the start or the stop. If a report requested after that does not
  /// list the run, the run no longer exists.
  std::optional<TimePoint> confirmed_at;
  /// An attempt to deliver the start had no response, so a copy of the order may still arrive.
  bool copy_outstanding = false;
  /// When copies of the start are to be rejected, so that the run either is listed or cannot begin.
  std::optional<TimePoint> fence_at;
  /// ExecutorState::fences from which on copies of the start are rejected.
  std::optional<int64_t> fence;
  /// The executor has listed the run, so the run belongs to the executor's known incarnation.
  bool listed = false;
  std::optional<TimePoint> stop_ordered_at;
  int percent = 0;  ///< Progress that was last reported.
  TimePoint percent_changed_at{};
  double metric = 0;
  int pace_percent = 100;
  bool adopted = false;  ///< Started by a previous owner; its start time is unknown.
};

/// A task of an open occurrence.
struct Task {
  bool done = false;
  std::vector<int64_t> failed_runs;  ///< Ids of runs; each counts as an attempt.
  std::string checkpoint;
  std::vector<Run> runs;
  ExecutorId avoided;         ///< Executor on which it last failed or got stuck.
  int unanswered_starts = 0;  ///< In a row.
};

/// State of a step within an occurrence.
struct Step {
  std::vector<Task> tasks;
  int done_tasks = 0;
  int open_dependencies = 0;             ///< Preceding steps that are not done.
  std::optional<TimePoint> ready_since;  ///< Set by the scheduler at the first planning.
  StepTickets tickets;                   ///< Empty if the queue needs no advice.
  /// The pass of the scheduler in which the step could not be placed although executors had room.
  int64_t constrained_in_pass = 0;
};

/// One execution of all steps of a job.
struct Occurrence {
  std::vector<Step> steps;
  int open_steps = 0;  ///< Steps that are not done.
};

/// Estimated remaining work of a job.
struct RemainingWork {
  double core_seconds = 0;
  Duration longest_chain{};  ///< Critical path over the steps.
};

/// Inputs to the ranking of a job. They are cached for a short time, since estimates change
/// slowly and after a surge hundreds of jobs have to be ranked.
struct JobEstimate {
  RemainingWork left;
  Duration objective{};
  TimePoint made_at{};
};

/// State of a job and its tasks, held by the owner of the pool.
class Job {
 public:
  /// @param definition the job as accepted.
  /// @param accepted_at acceptance time, as far as this owner knows.
  /// @param inherited whether a previous owner may have started tasks of the job.
  Job(std::shared_ptr<const JobDefinition> definition, TimePoint accepted_at, bool inherited);

  /// Restores the durable state, as written by a previous owner.
  void Restore(const JobProgress& progress);
  /// @return the state to make durable.
  JobProgress Progress() const;

  const std::shared_ptr<const JobDefinition>& definition() const { return m_definition; }
  const JobId& id() const { return m_definition->id; }
  JobState state() const { return m_state; }
  bool is_final() const { return IsFinal(m_state); }
  bool inherited() const { return m_inherited; }
  TimePoint accepted_at() const { return m_accepted_at; }
  bool scheduled() const { return m_definition->schedule.occurrences > 0; }
  bool long_running() const { return IsLongRunning(*m_definition); }

  /// Opens the occurrences that are due.
  /// @param unix_ms the wall-clock time in milliseconds.
  void OpenOccurrences(int64_t unix_ms);
  /// Opens an occurrence, unless it is finished or the job has no such occurrence. A previous owner
  /// may have started tasks of an occurrence that it did not record, or that is not due yet on the
  /// clock of this owner.
  void OpenOccurrence(int number);
  std::map<int, Occurrence>& occurrences() { return m_occurrences; }
  const std::map<int, Occurrence>& occurrences() const { return m_occurrences; }

  const StepSpec& spec(int step) const { return m_definition->steps[static_cast<size_t>(step)]; }
  /// @return the task, or nullptr if the job has no such task or its occurrence is not open.
  Task* FindTask(const TaskId& id);
  /// @return whether all steps that the step depends on are done.
  static bool IsReady(const Step& step) { return step.open_dependencies == 0; }

  /// Marks a task done, or all tasks of its step if they are gang-scheduled. Completes the job
  /// after its last task.
  void MarkDone(const TaskId& id);
  /// Counts a failed attempt, unless this run has been counted before: an executor reports an end
  /// until the owner's acknowledgement is durable, which may be later than the job's progress.
  /// @return whether the job failed because no attempts are left.
  bool MarkFailed(const TaskId& id, int64_t run, int max_attempts);
  void MarkCancelled();
  /// Records that the start of a task has been ordered, which an executor may still reject.
  void MarkStarted();
  /// Records that an executor has begun a task.
  void MarkBegun();
  /// @return whether an executor is known to have begun a task.
  bool begun() const { return m_begun; }

  /// Executors on which a task of this job failed.
  std::set<ExecutorId>& failed_on() { return m_failed_on; }

  std::optional<TimePoint> final_since;  ///< When the state became final; set by the scheduler.
  bool beyond_rate = false;  ///< Its team exceeded its rate when it arrived; see TeamShares.
  /// Set by JobRanking; cleared by every change of the job's remaining work.
  std::optional<JobEstimate> estimate;

 private:
  Occurrence MakeOccurrence() const;
  /// @return the task that holds the failed runs: for gang-scheduled tasks the first one of the
  ///   step, which also holds the checkpoint, otherwise the task itself.
  Task& AttemptHolder(const TaskId& id);
  /// Updates the steps that depend on a step that is done.
  void FinishStep(Occurrence& occurrence, int step);

  std::shared_ptr<const JobDefinition> m_definition;
  TimePoint m_accepted_at;
  bool m_inherited;
  JobState m_state = JobState::kQueued;
  bool m_begun = false;
  std::map<int, Occurrence> m_occurrences;  // Open occurrences by number.
  int m_next_occurrence = 0;
  std::set<int> m_finished_occurrences;  // Finished out of order: m_finished_prefix or higher.
  int m_finished_prefix = 0;             // All occurrences with a lower number are finished.
  std::set<ExecutorId> m_failed_on;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_JOB_H_
