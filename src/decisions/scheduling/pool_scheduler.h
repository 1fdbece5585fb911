#ifndef CITRONFERRY_DECISIONS_SCHEDULING_POOL_SCHEDULER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_POOL_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/duration_model.h"
#include "decisions/scheduling/executor_state.h"
#include "decisions/scheduling/job.h"
#include "decisions/scheduling/placement.h"
#include "decisions/scheduling/ranking.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

struct SchedulerOptions {
  /// Version of the store at which the pool was taken over; prefix of run ids.
  int64_t epoch = 1;
  TimePoint taken_over_at{};
  /// Longest time from the last extension of an executor's lease to the end of all that runs there.
  Duration lease_bound = 5300ms;
  Duration final_retention = 130s;  ///< How long final states are kept.
};

/// Executor of a pool that its owner has to be in contact with.
struct LinkRecord {
  ExecutorId executor;
  std::string address;
  int64_t incarnation_unix_ms = 0;
  int64_t applied_end = 0;
};

struct QueueSummary {
  QueueName queue;
  int64_t pending = 0;  ///< Jobs of which no task has started, scheduled ones left out.
};

/// What has to become durable together.
struct CommitBatch {
  std::vector<std::pair<JobId, JobProgress>> progress;
  std::vector<LinkRecord> links;
  std::vector<ExecutorId> removed_links;
  std::vector<QueueSummary> queues;
  std::vector<JobId> removed_jobs;  ///< Their definitions are gone, so their progress goes too.

  bool empty() const {
    return progress.empty() && links.empty() && removed_links.empty() && queues.empty() &&
           removed_jobs.empty();
  }
  size_t size() const {
    return progress.size() + links.size() + removed_links.size() + queues.size() +
           removed_jobs.size();
  }
};

/// A step for which the placement adviser has to be asked.
struct TicketRequest {
  TaskId step;  ///< The index is not used.
  std::vector<ExecutorId> candidates;
  Duration timeout{};
};

/// A decision worth a log line.
struct SchedulerNote {
  std::string event;
  TaskId task;
  int64_t run = 0;
  ExecutorId executor;
  std::string detail;
};

/// Places the tasks of one pool's jobs on its executors. It has no clock, socket or encoding:
/// events go in with their time, orders and what must be durable come out.
class PoolScheduler {
 public:
  explicit PoolScheduler(SchedulerOptions options);
  ~PoolScheduler();

  void SetQueues(std::span<const QueuePolicy> queues);

  /// Adds an executor that a previous owner was in contact with.
  void InheritExecutor(const LinkRecord& link);
  /// Adds or updates an executor of the registry.
  void ListExecutor(const ExecutorDescription& info, TimePoint now);
  /// Notes that the registry lists an executor no longer; what runs there goes on.
  void UnlistExecutor(const ExecutorId& id);

  /// @param progress durable progress, if the job was inherited with some.
  void AddJob(std::shared_ptr<const JobDefinition> definition, const JobProgress* progress,
              TimePoint accepted_at, bool inherited);
  void CancelJob(const JobId& id, TimePoint now);

  void OnStartAnswer(const StartOrder& order, StartAnswer answer, TimePoint now);
  void OnStopAnswer(const StopOrder& order, StopAnswer answer, TimePoint now);
  /// @param requested_at when the report was asked for.
  void OnReport(const ExecutorId& id, const ExecutorReport& report, TimePoint requested_at,
                TimePoint now);
  void OnNoAnswer(const ExecutorId& id);
  /// Another executor has the address, so this one has ended with all its runs.
  void OnExecutorGone(const ExecutorId& id, TimePoint now);
  /// Notes that a call was sent that extends the lease of what runs on an executor.
  void OnLeaseExtended(const ExecutorId& id, TimePoint now);

  /// Acts on what has become due.
  /// @param unix_ms the time of day, for scheduled jobs.
  void Advance(TimePoint now, int64_t unix_ms);
  /// Places what can be placed.
  /// @return the orders to carry out now.
  Orders Plan(TimePoint now);

  /// @return what has become dirty since the last call, up to max_rows.
  CommitBatch TakeCommit(size_t max_rows);
  void OnCommitted(const CommitBatch& batch);
  /// Makes what a failed commit held dirty again.
  void OnCommitFailed(const CommitBatch& batch);
  bool has_dirty() const;
  /// @return jobs that were final for long enough, so that their definitions can be removed; each
  ///   is returned once.
  std::vector<JobId> TakeExpiredJobs();
  /// Notes what became of the definitions of expired jobs. Their progress follows only when the
  /// definitions are gone, since a definition without progress is a new job.
  void OnDefinitionsRemoved(std::span<const JobId> jobs);
  void OnRemovalFailed(std::span<const JobId> jobs);

  const std::map<ExecutorId, ExecutorState>& executors() const { return m_executors; }
  ExecutorState* FindExecutor(const ExecutorId& id);
  const Job* FindJob(const JobId& id) const;
  bool HoldsJob(const JobId& id) const { return m_jobs.contains(id); }
  /// @return the lasting tasks of an executor that may be stopped now without taking more tasks of
  ///   a step out of service than its budget allows.
  std::vector<StopOrder> EvictionsWithinBudget(const ExecutorId& id) const;
  /// Stops lasting tasks of an executor, so that they start elsewhere, as their budgets allow.
  void EvictLongRunningTasks(const ExecutorId& id, TimePoint now);
  /// @return the steps for which tickets are needed now; each is returned once until SetTickets.
  std::vector<TicketRequest> TakeTicketRequests(TimePoint now);
  /// Notes the adviser's answer for a step.
  /// @param tickets by executor; empty if the call failed.
  void SetTickets(const TaskId& step, std::map<ExecutorId, std::string> tickets,
                  TimePoint valid_until, TimePoint now);
  /// Notes that a pace order did not arrive, so that it is given again.
  void OnPaceFailed(const PaceOrder& order);
  /// Starts or ends keeping new tasks off an executor.
  void SetCordoned(const ExecutorId& id, bool cordoned);
  /// Orders a stop of a run and keeps its capacity taken until its end is listed.
  void StopRun(const StopOrder& stop, TimePoint now);

  /// @return whether an executor has seen a newer owner.
  bool fenced() const { return m_fenced; }
  /// @return notes since the last call.
  std::vector<SchedulerNote> TakeNotes();
  /// @return whether something happened that may let tasks be placed.
  bool plan_needed() const { return m_plan_needed; }
  size_t open_jobs() const { return m_open_jobs.size(); }
  /// @return cores that the waiting tasks of ready steps ask for, at the last planning.
  double waiting_cores() const { return m_waiting_cores; }
  /// @return cores that lasting tasks have.
  double long_running_cores() const;
  /// @return executors over which the lasting tasks of some step have to be spread.
  int min_executors_for_long_running() const;
  /// @return the expected core-seconds of a job.
  double EstimateCoreSeconds(const JobDefinition& definition) const;

 private:
  struct PlanningJob;

  void ApplyEnd(ExecutorState& executor, const EndedRun& ended, TimePoint now);
  void ApplyDone(ExecutorState& executor, Job& job, const EndedRun& ended, const Run* run,
                 TimePoint now);
  void ApplyFailure(ExecutorState& executor, Job& job, const EndedRun& ended, TimePoint now);
  void ApplyActive(ExecutorState& executor, const ActiveRun& active, TimePoint now);
  void RemoveVanishedRuns(ExecutorState& executor, const ExecutorReport& report,
                          TimePoint requested_at);
  void Adopt(ExecutorState& executor, Job& job, Task& task, const ActiveRun& active, TimePoint now);
  void PaceBestEffortTasks(ExecutorState& executor);
  Step* FindStep(const TaskId& id);
  void DetectStuckRun(ExecutorState& executor, Job& job, Run& run, const ActiveRun& active,
                      TimePoint now);

  Job* FindJobMutable(const JobId& id);
  Run* FindRun(const TaskId& task, int64_t run, const ExecutorId& executor);
  /// Removes a run from its task and frees what it took.
  void RemoveRun(const TaskId& task, int64_t run, ExecutorState& executor);
  /// Drops all runs of an executor whose life or lease has ended.
  void DropAllRuns(ExecutorState& executor, std::string_view reason);
  /// Drops the runs of a silent executor, after its lease. Their ends count no more.
  void AbandonRuns(ExecutorState& executor);
  void StopAllRuns(Job& job, TimePoint now);
  void StopOtherRuns(Job& job, const TaskId& task, int64_t except_run, TimePoint now);
  void OrderStop(const TaskId& task, Run& run, TimePoint now);
  /// Repeats stops that were not confirmed.
  void RetryStops(const ExecutorState& executor, TimePoint now);
  /// @param already_stopping tasks of the same step that are being stopped besides.
  /// @return whether the budget of a run's step allows to end the run.
  bool WithinDisruptionBudget(const RunRef& ref, int already_stopping) const;
  void Finish(Job& job, TimePoint now);
  void MarkDirty(const Job& job);
  void Note(std::string_view event, const TaskId& task, int64_t run, const ExecutorId& executor,
            std::string_view detail = {});

  std::vector<Candidate> MakeCandidates(TimePoint now);
  std::vector<PlanningJob> RankJobs(TimePoint now) const;
  /// @return whether every task of the step that waits was placed.
  bool PlaceStep(Job& job, int occurrence, int step_index, Placer& placer, TimePoint now);
  /// @return the rules for a job, from the configuration in force or else those it was accepted
  /// under.
  const QueuePolicy& PolicyOf(const Job& job) const;
  void Start(Job& job, const TaskId& id, Task& task, ExecutorState& executor, int64_t run,
             TimePoint now);
  bool NeedsPlacement(const Task& task, const StepSpec& spec) const;
  /// @return whether a previous owner may have started tasks that are not known yet.
  bool TakeoverUnresolved(const StepSpec& spec) const;
  void ExpireFinalJobs(TimePoint now);
  void RemoveEndedExecutors(TimePoint now);
  Resources CountedRequest(const Job& job, int step) const;
  std::vector<QueueSummary> SummariseQueues() const;

  SchedulerOptions m_options;
  std::map<QueueName, QueuePolicy> m_queues;
  bool m_advice_used = false;  // Some job or queue has ever needed tickets.
  std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
  std::set<JobId> m_open_jobs;
  std::map<ExecutorId, ExecutorState> m_executors;
  DurationModel m_durations;
  JobRanking m_ranking{m_durations};
  Orders m_orders;
  int64_t m_last_run_number = 0;
  bool m_fenced = false;
  std::set<std::pair<TaskId, int64_t>> m_abandoned_runs;
  std::set<JobId> m_dirty_jobs;
  std::set<ExecutorId> m_dirty_links;
  std::set<ExecutorId> m_removed_links;
  std::map<QueueName, int64_t> m_published_pending;
  std::deque<std::pair<TimePoint, JobId>> m_final_jobs;  // In the order in which they ended.
  std::set<JobId> m_expired_jobs;
  std::set<JobId> m_removed_jobs;
  std::vector<SchedulerNote> m_notes;
  bool m_plan_needed = true;
  double m_waiting_cores = 0;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_POOL_SCHEDULER_H_
