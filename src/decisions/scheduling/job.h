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
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// A lasting task that reports this is at work.
inline constexpr int kReadyPercent = 100;

enum class RunPhase {
  kOrdered,  ///< The executor has not confirmed the start.
  kRunning,
  kStopping,  ///< Takes up capacity until the executor lists its end.
};

/// One start of a task on an executor.
struct Run {
  int64_t id = 0;
  ExecutorId executor;
  RunPhase phase = RunPhase::kOrdered;
  TimePoint ordered_at{};
  /// When the executor confirmed the start or the stop. A report asked for later that does not list
  /// the run means that it is gone.
  std::optional<TimePoint> confirmed_at;
  std::optional<TimePoint> stop_ordered_at;
  int percent = 0;
  TimePoint percent_changed_at{};
  double metric = 0;
  int pace_percent = 100;
  bool adopted = false;  ///< Started by a previous owner, so its start time is unknown.
};

struct Task {
  bool done = false;
  std::vector<int64_t> failed_runs;  ///< Each counts as an attempt.
  std::string checkpoint;
  std::vector<Run> runs;
  ExecutorId avoided;  ///< Where it failed last.
};

struct Step {
  std::vector<Task> tasks;
  int done_tasks = 0;
  int open_dependencies = 0;
  std::optional<TimePoint> ready_since;       ///< Set by the scheduler.
  std::map<ExecutorId, std::string> tickets;  ///< Leave of the placement adviser, if it is needed.
  std::optional<TimePoint> tickets_valid_until;
  bool tickets_requested = false;  ///< A call to the adviser is under way.
};

struct Occurrence {
  std::vector<Step> steps;
  int open_steps = 0;
};

/// Estimated work that is left of a job.
struct RemainingWork {
  double core_seconds = 0;
  Duration longest_chain{};
};

/// What the ranking of a job was worked out from; it is kept for a while, since estimates change
/// slowly and a surge leaves hundreds of jobs to rank.
struct JobEstimate {
  RemainingWork left;
  Duration objective{};
  TimePoint made_at{};
};

/// A job with the state of its tasks.
class Job {
 public:
  /// @param accepted_at when the job was accepted, as far as this owner knows.
  /// @param inherited whether a previous owner may have started tasks of it.
  Job(std::shared_ptr<const JobDefinition> definition, TimePoint accepted_at, bool inherited);

  /// Takes over what a previous owner made durable.
  void Restore(const JobProgress& progress);
  /// @return what has to be durable.
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
  /// @param unix_ms the time of day.
  void OpenOccurrences(int64_t unix_ms);
  std::map<int, Occurrence>& occurrences() { return m_occurrences; }
  const std::map<int, Occurrence>& occurrences() const { return m_occurrences; }

  const StepSpec& spec(int step) const { return m_definition->steps[static_cast<size_t>(step)]; }
  /// @return the task, or nullptr if the job has no such task or its occurrence is not open.
  Task* FindTask(const TaskId& id);
  /// @return whether all steps before this one are done.
  static bool IsReady(const Step& step) { return step.open_dependencies == 0; }

  /// Marks a task done, a gang as a whole, and the job completed after its last task.
  void MarkDone(const TaskId& id);
  /// Counts a failed attempt, unless this run is counted already: an executor lists an end until
  /// the owner's record of it is durable, which may be later than the job's progress.
  /// @return whether the job has failed by it.
  bool MarkFailed(const TaskId& id, int64_t run, int max_attempts);
  void MarkCancelled();
  /// Notes that a task has been started.
  void MarkStarted();

  /// Executors on which a task of this job failed.
  std::set<ExecutorId>& failed_on() { return m_failed_on; }

  std::optional<TimePoint> final_since;  ///< Set by the scheduler.
  /// Set by the ranking; anything that changes what is left of the job clears it.
  std::optional<JobEstimate> estimate;

 private:
  Occurrence MakeOccurrence() const;
  /// A gang counts its attempts and keeps its checkpoint at its first task.
  Task& AttemptHolder(const TaskId& id);
  void FinishStep(Occurrence& occurrence, int step);

  std::shared_ptr<const JobDefinition> m_definition;
  TimePoint m_accepted_at;
  bool m_inherited;
  JobState m_state = JobState::kQueued;
  std::map<int, Occurrence> m_occurrences;  // Open ones by number.
  int m_next_occurrence = 0;
  std::set<int> m_finished_occurrences;  // Beyond the first gap.
  int m_finished_prefix = 0;             // All occurrences below are finished.
  std::set<ExecutorId> m_failed_on;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_JOB_H_
