#ifndef CITRONFERRY_DECISIONS_SCHEDULING_POOL_SCHEDULER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_POOL_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/duration_model.h"
#include "decisions/scheduling/executor_state.h"
#include "decisions/scheduling/handover.h"
#include "decisions/scheduling/job.h"
#include "decisions/scheduling/placement.h"
#include "decisions/scheduling/ranking.h"
#include "decisions/scheduling/start_budget.h"
#include "decisions/scheduling/step_tickets.h"
#include "decisions/scheduling/team_quotas.h"
#include "decisions/scheduling/team_shares.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

struct SchedulerOptions {
  /// Version of the store at which this owner took over the pool; the upper bits of run ids.
  int64_t epoch = 1;
  TimePoint taken_over_at{};
  /// Longest time from the last extension of an executor's lease to the end of all its runs.
  Duration lease_bound = 5300ms;
  /// The same for the longest lease that an executor accepts. A call that reckons a lease on the
  /// clock of a previous incarnation gives the next one at most this.
  Duration longest_lease_bound = 10'500ms;
  /// Time in which a call without a response may still be carried out: the platform's executors do
  /// so up to 12 s late.
  Duration late_call_window = 12s;
  Duration final_retention = 130s;  ///< How long jobs are kept in a final state.
  /// Bytes per second that start orders may take on the owner's link.
  double start_bytes_per_second = std::numeric_limits<double>::infinity();
  /// See kTimelinessShare.
  double timeliness_share = kTimelinessShare;
};

/// Size of start orders on the owner's link.
class StartCost {
 public:
  virtual ~StartCost() = default;
  /// @return the bytes that the owner sends to start a task of a job on an executor.
  virtual int64_t BytesOf(const JobDefinition& job, const ExecutorId& executor) const = 0;
};

/// Stored record of an executor that the owner of the pool has to communicate with.
struct LinkRecord {
  ExecutorId executor;
  std::string address;
  int64_t incarnation_unix_ms = 0;
  /// Number of the last run end that was processed when the record was written. It is not rewritten
  /// for each end: a successor that is told of an end again finds its effect in the progress.
  int64_t applied_end = 0;
  /// The executor has restarted under its id, so its lease may be longer than those of its owner.
  bool restarted = false;
};

/// Ends of an executor's runs whose effects are durable once a commit is.
struct SettledEnds {
  ExecutorId executor;
  int64_t incarnation_unix_ms = 0;
  int64_t applied_end = 0;  ///< Number of the last one.
};

/// Published backlog of a queue.
struct QueueSummary {
  QueueName queue;
  int64_t pending = 0;  ///< Jobs of which no task is known to have begun, except scheduled jobs.
};

/// Changes to write in one transaction.
struct CommitBatch {
  std::vector<std::pair<JobId, JobProgress>> progress;
  std::vector<LinkRecord> links;
  std::vector<ExecutorId> removed_links;
  std::vector<QueueSummary> queues;
  std::vector<JobId> removed_jobs;   ///< Delete their progress; their definitions are deleted.
  std::vector<SettledEnds> settled;  ///< Not written; for PoolScheduler::OnCommitted.
  /// Encoded rows of learned run times, which the committer adds; empty if they stay as they are.
  std::vector<std::string> run_times;

  /// @return the number of rows to write or delete, besides those of run times.
  size_t size() const {
    return progress.size() + links.size() + removed_links.size() + queues.size() +
           removed_jobs.size();
  }
  /// Moves all but some rows to another batch, which may be committed with or after this one: links
  /// and settled ends, which tell that ends were applied, go last.
  /// @param rows number of rows that stay.
  /// @return the other rows, with those of run times.
  CommitBatch SplitOff(size_t rows);
};

/// A call to the placement adviser for a step.
struct TicketRequest {
  TaskId step;  ///< Its index is unused.
  std::vector<AdviceCandidate> candidates;
  Duration timeout{};
};

/// What it takes to empty an executor of long-running tasks.
struct DrainPlan {
  /// Of runs in whose place others can be started on other executors.
  std::vector<StopOrder> moves;
  /// Of runs for which no other executor has room. Their tasks are away until the executor is back,
  /// so they are stopped last, all at once.
  std::vector<StopOrder> pauses;
  /// The disruption budgets allow the pauses, and no long-running task waits for this executor.
  bool feasible = true;
};

/// A decision to log.
struct SchedulerNote {
  std::string event;
  TaskId task;
  int64_t run = 0;
  ExecutorId executor;
  std::string detail;
};

/// Schedules the tasks of a pool's jobs on its executors. It performs no I/O and reads no clock:
/// events are passed in with their time, and orders and state to make durable are returned.
class PoolScheduler {
 public:
  /// @param durations predicts run times; by default from completed tasks.
  explicit PoolScheduler(SchedulerOptions options,
                         std::unique_ptr<DurationModel> durations = nullptr);
  ~PoolScheduler();

  /// Replaces the policies of the queues that the pool serves.
  void SetQueues(std::span<const QueuePolicy> queues);

  /// Replaces the limits of what teams may use in the pool. Teams without one are not limited.
  void SetTeamLimits(std::map<TeamName, TeamLimit> limits);
  /// Replaces the weights of the teams. Without teams, the order of jobs does not depend on them.
  void SetTeamWeights(std::map<TeamName, double> weights);
  /// @return the order of teams in a full pool.
  const TeamShares& team_shares() const { return m_team_shares; }
  /// @return what each team uses, and what waits only for its limit as of the last planning.
  std::map<TeamName, TeamUse> TeamUses() const { return m_team_quotas.Uses(UnresolvedCapacity()); }

  /// Adds an executor that a previous owner communicated with.
  void InheritExecutor(const LinkRecord& link);
  /// Adds or updates an executor from the registry.
  void ListExecutor(const ExecutorDescription& info, TimePoint now);
  /// Records that an executor is no longer in the registry. Its runs continue.
  void UnlistExecutor(const ExecutorId& id);

  /// @param definition the job as accepted.
  /// @param progress durable progress of an inherited job, or nullptr if there is none.
  /// @param accepted_at acceptance time, as far as this owner knows.
  /// @param inherited whether a previous owner may have started tasks of the job.
  void AddJob(std::shared_ptr<const JobDefinition> definition, const JobProgress* progress,
              TimePoint accepted_at, bool inherited);
  void CancelJob(const JobId& id, TimePoint now);
  /// @return what may run in the pool. The owner must have sent its last order before.
  PoolHandover MakeHandover(TimePoint now) const;
  /// Takes over what the previous owner handed over when it released the pool, so that no task has
  /// to wait for executors that run nothing. Follows InheritExecutor and AddJob.
  void InheritHandover(const PoolHandover& handover);

  /// @return whether a run is still to be started; false if it was given up or stopped while its
  ///   order was waiting.
  bool IsWanted(const StartOrder& order);
  /// Records that an attempt to deliver a start had no response. OnStartAnswer follows.
  void OnStartUnanswered(const StartOrder& order);
  /// @param answer the result after all attempts.
  /// @param reason for the log, if the executor has not answered.
  void OnStartAnswer(const StartOrder& order, StartAnswer answer, TimePoint now,
                     std::string_view reason = {});
  void OnStopAnswer(const StopOrder& order, StopAnswer answer, TimePoint now);
  /// Processes an executor's report.
  /// @param fences HoldTerms::fences of the call that returned it.
  /// @param requested_at when the report was requested.
  void OnReport(const ExecutorId& id, const ExecutorReport& report, int64_t fences,
                TimePoint requested_at, TimePoint now);
  /// Records that an executor did not answer a call.
  /// @param called_at when the call was made; the epoch of the clock if it may not have been made.
  void OnNoAnswer(const ExecutorId& id, TimePoint called_at);
  /// Records that a call with a new fencing token is sent to an executor. It gets no starts before
  /// its next report.
  void OnTokenBegun(const ExecutorId& id);
  /// Drops an executor that no longer exists, for example because another one uses its address,
  /// with all its runs.
  void OnExecutorGone(const ExecutorId& id, TimePoint now);
  /// Records that a call was sent that extends the lease of an executor's runs.
  void OnLeaseExtended(const ExecutorId& id, TimePoint now);

  /// Handles whatever is due: expired leases, stops to repeat, occurrences of scheduled jobs, and
  /// jobs and executors to remove.
  /// @param unix_ms the wall-clock time in milliseconds, for scheduled jobs.
  void Advance(TimePoint now, int64_t unix_ms);
  /// Places waiting tasks.
  /// @param cost optional; without it, orders cost nothing.
  /// @return the orders to send now.
  Orders Plan(TimePoint now, const StartCost* cost = nullptr);
  /// @return the orders to send now that do not place tasks.
  Orders TakeOrders() { return std::exchange(m_orders, {}); }
  /// @return how long tasks wait for the owner's link; zero if they do not.
  Duration wait_for_link() const { return m_wait_for_link; }

  /// @return the changes since the last call, up to max_rows.
  CommitBatch TakeCommit(size_t max_rows);
  /// Records that a batch is durable.
  void OnCommitted(const CommitBatch& batch);
  /// Marks the contents of a failed commit as changed again.
  void OnCommitFailed(const CommitBatch& batch);
  /// @return whether there are changes to commit, besides those of queue summaries.
  bool has_dirty() const;
  /// @return jobs whose final_retention has passed and whose definitions can be removed; each is
  ///   returned once.
  std::vector<JobId> TakeExpiredJobs();
  /// Records that the definitions of expired jobs were removed. Their progress is removed only
  /// after that, since a definition without progress would be taken for a new job.
  void OnDefinitionsRemoved(std::span<const JobId> jobs);
  /// Returns jobs to TakeExpiredJobs whose definitions could not be removed.
  void OnRemovalFailed(std::span<const JobId> jobs);

  const std::map<ExecutorId, ExecutorState>& executors() const { return m_executors; }
  ExecutorState* FindExecutor(const ExecutorId& id);
  const Job* FindJob(const JobId& id) const;
  bool HoldsJob(const JobId& id) const { return m_jobs.contains(id); }
  /// @return stops of an executor's long-running tasks that are possible now within the disruption
  ///   budgets of their steps.
  std::vector<StopOrder> EvictionsWithinBudget(const ExecutorId& id) const;
  /// @return how an executor can be emptied of long-running tasks now.
  DrainPlan PlanDrain(const ExecutorId& id, TimePoint now);
  /// Stops long-running tasks of an executor for which others have room, within their disruption
  /// budgets, so that they start elsewhere.
  void EvictLongRunningTasks(const ExecutorId& id, TimePoint now);
  /// Chooses a step that the last planning could not place for want of tickets, and the executors
  /// to ask the placement adviser about: those that may have room for its tasks and that the
  /// adviser has not refused. Each further call names others, until all have been named.
  /// @return the call to make now, if any. SetTickets or OnAdviceFailed follows.
  std::optional<TicketRequest> NextTicketRequest(TimePoint now);
  /// Stores the adviser's response to a call.
  /// @param tickets by executor; the adviser refuses the other candidates.
  /// @param valid_until of all tickets.
  void SetTickets(const TicketRequest& request, const std::map<ExecutorId, std::string>& tickets,
                  TimePoint valid_until, TimePoint now);
  /// Records that a call to the adviser had no usable response, so that it is made again.
  void OnAdviceFailed(const TicketRequest& request, TimePoint now);
  /// Records that a pace order was not delivered, so that it is repeated.
  void OnPaceFailed(const PaceOrder& order);
  /// Sets whether new tasks are kept off an executor.
  void SetCordoned(const ExecutorId& id, bool cordoned);
  /// Orders the stop of a run. Its capacity stays allocated until its end is reported.
  void StopRun(const StopOrder& stop, TimePoint now);

  /// @return whether an executor has seen a newer owner.
  bool fenced() const { return m_fenced; }
  /// @return the decisions to log since the last call.
  std::vector<SchedulerNote> TakeNotes();
  /// @return whether a change since the last planning may allow tasks to be placed, or orders
  ///   have to be sent.
  bool plan_needed() const { return m_plan_needed; }
  size_t open_jobs() const { return m_open_jobs.size(); }
  /// @return the open jobs that have not begun, except scheduled ones, and how many of them have a
  ///   start that was ordered.
  std::pair<int64_t, int64_t> CountPending() const;
  /// @return cores requested by tasks that the last planning could not place.
  double waiting_cores() const { return m_waiting_cores; }
  /// @return cores allocated to long-running tasks.
  double long_running_cores() const;
  /// @return the number of executors over which long-running tasks have to be spread, as the
  ///   maximum over all steps.
  int min_executors_for_long_running() const;
  /// @return what this owner has learned about run times.
  runtimes::RunTimes& run_times() { return m_durations->run_times(); }
  const runtimes::RunTimes& run_times() const { return m_durations->run_times(); }
  /// @return the expected core-seconds of a job.
  double EstimateCoreSeconds(const JobDefinition& definition) const;

 private:
  struct PlanningJob;
  class UnplacedSteps;
  class LongRunningRoom;
  struct AdviceOption;

  /// @return the task that an executor's report names, or nullptr if it is unknown or its
  ///   occurrence is finished.
  Task* FindReportedTask(const TaskId& id);
  /// Notes ends that the executor no longer lists although this owner has not seen them. Ends are
  /// numbered without gaps.
  void NoteMissedEnds(const ExecutorState& executor, std::span<const EndedRun> ended);
  void ApplyEnd(ExecutorState& executor, const EndedRun& ended, TimePoint now);
  void ApplyDone(ExecutorState& executor, Job& job, const EndedRun& ended, const Run* run,
                 TimePoint now);
  void ApplyFailure(ExecutorState& executor, Job& job, const EndedRun& ended, TimePoint now);
  void ApplyActive(ExecutorState& executor, const ActiveRun& active, TimePoint now);
  /// Removes runs that an executor does not list although it has confirmed them, or although it
  /// rejects their starts from now on.
  void RemoveVanishedRuns(ExecutorState& executor, const ExecutorReport& report, int64_t fences,
                          TimePoint requested_at, TimePoint now);
  /// Takes over a run that this owner did not start, or stops it if it is not needed.
  void Adopt(ExecutorState& executor, Job& job, Task& task, const ActiveRun& active, TimePoint now);
  /// Adjusts the pace of best-effort tasks to the tail latencies on the executor.
  void PaceBestEffortTasks(ExecutorState& executor);
  Step* FindStep(const TaskId& id);
  /// Stops a run without progress and quarantines its executor.
  void DetectStuckRun(ExecutorState& executor, Job& job, Run& run, const ActiveRun& active,
                      TimePoint now);

  Job* FindJobMutable(const JobId& id);
  Run* FindRun(const TaskId& task, int64_t run, const ExecutorId& executor);
  const Run* FindRun(const TaskId& task, int64_t run, const ExecutorId& executor) const;
  /// Adds a run of the previous owner, which is confirmed or removed by the executor's next report.
  void RestoreRun(ExecutorState& executor, const HandedOverRun& run);
  /// Removes a run from its task and frees its resources.
  void RemoveRun(const TaskId& task, int64_t run, ExecutorState& executor);
  /// Makes an executor reject copies of the run's start, so that its next report decides whether
  /// the run exists.
  static void FenceStart(ExecutorState& executor, Run& run);
  /// Handles the restart of an executor under its id. Runs that the previous incarnation has listed
  /// have ended. Others stay until the new incarnation, which may have received their starts, has
  /// reported with a token of its own.
  void OnRestarted(ExecutorState& executor, int64_t incarnation_unix_ms, TimePoint now);
  /// Removes all runs of an executor that has gone or whose lease has ended.
  void DropAllRuns(ExecutorState& executor, std::string_view reason);
  /// Removes the runs of an executor that has not responded until its lease expired. Of ends of
  /// these runs that are reported later, only successes have an effect.
  void AbandonRuns(ExecutorState& executor);
  void StopAllRuns(Job& job, TimePoint now);
  /// Stops all runs of a task, or of its gang, but one.
  void StopOtherRuns(Job& job, const TaskId& task, int64_t except_run, TimePoint now);
  /// Stops the rest of a gang that cannot start without one of its members.
  void StopIncompleteGang(Job& job, const TaskId& missing, TimePoint now);
  /// @param reason for the log.
  void OrderStop(const TaskId& task, Run& run, std::string_view reason, TimePoint now);
  /// Records whether a start could be sent to its executor.
  void NoteSending(ExecutorState& executor, const Run& run, StartAnswer answer, TimePoint now);
  /// Fences starts that have not begun in the time that they were given.
  void FenceLateStarts(ExecutorState& executor, TimePoint now);
  /// Repeats unconfirmed stops.
  void RetryStops(const ExecutorState& executor, TimePoint now);
  /// @param already_stopping number of other tasks of the same step that are being stopped.
  /// @return whether the disruption budget of the step permits stopping the run.
  bool WithinDisruptionBudget(const RunRef& ref, int already_stopping) const;
  /// @return whether a long-running task fits on an executor once other tasks have ended there.
  bool IsRoomFor(const ExecutorState& executor, const Job& job, const TaskId& id) const;
  /// Handles a job whose state became final.
  void Finish(Job& job, TimePoint now);
  void MarkDirty(const Job& job);
  void Note(std::string_view event, const TaskId& task, int64_t run, const ExecutorId& executor,
            std::string_view detail = {});

  std::vector<Candidate> MakeCandidates(TimePoint now);
  /// @return how many starts may be ordered beside those that wait to be sent.
  int StartsLeft(const ExecutorState& executor) const;
  std::vector<PlanningJob> RankJobs(TimePoint now) const;
  /// Orders waiting jobs of equal priority and timeliness by their teams. Within a team, the order
  /// is not changed.
  /// @param ranked in the order of their ranks.
  void RankByTeams(std::vector<PlanningJob>& ranked, TimePoint now) const;
  /// @return whether all waiting tasks of the step were placed, or the step cannot be placed for a
  ///   reason other than capacity.
  bool PlaceStep(Job& job, int occurrence, int step_index, Placer& placer, TimePoint now);
  /// @return the executors that the adviser may be asked about for a step.
  std::vector<AdviceOption> FindAdviceOptions(const StepSpec& spec, const Step& step,
                                              std::span<const Candidate> candidates,
                                              TimePoint now) const;
  /// @param options not empty.
  TicketRequest MakeTicketRequest(const TaskId& id, Step& step,
                                  std::vector<AdviceOption> options) const;
  /// @return the tickets that restrict a step's executors, or nullptr if its queue needs no advice.
  const StepTickets* TicketsOf(const Job& job, const TaskId& id) const;
  ExecutorState& FindOrAddExecutor(const ExecutorId& id);
  /// @return the policy of the job's queue in the active configuration, otherwise the one under
  ///   which the job was accepted.
  const QueuePolicy& PolicyOf(const Job& job) const;
  /// @return the id of a new run; ids increase across owners.
  int64_t NextRun();
  void Start(Job& job, const TaskId& id, Task& task, ExecutorState& executor, int64_t run,
             TimePoint now);
  /// Starts second runs of stragglers in capacity that no job waits for.
  void CopyStragglers(Placer& placer, TimePoint now);
  /// @return whether a second run of a task may be started because its only run is a straggler.
  bool IsStraggler(const Job& job, const TaskId& id, const Task& task, TimePoint now) const;
  /// @return whether a task has to be placed: it has no run, or copies are allowed and the
  ///   executors of all its runs have just stopped responding.
  bool NeedsPlacement(const Task& task, const StepSpec& spec, TimePoint now) const;
  /// @return until when a copy of a task may be ordered beside its runs; nothing if the reports on
  ///   them are too old, so that one of them may have ended long ago.
  std::optional<TimePoint> CopyDeadline(const Task& task, TimePoint now) const;
  /// @return whether at least half of the cores of the listed executors are in use.
  bool IsBusy() const;
  /// @return whether a previous owner may have started tasks that this owner does not know of yet.
  bool TakeoverUnresolved() const;
  /// @return the capacity of inherited executors on which unknown runs may exist.
  Resources UnresolvedCapacity() const;
  /// Charges an executor and the job's team with a run of a step.
  void Charge(ExecutorState& executor, const Job& job, int step);
  /// Reverses Charge.
  void Refund(ExecutorState& executor, const Job& job, int step);
  /// Records that the team's limit keeps a task or gang of a step from starting.
  /// @param request of the task or the whole gang.
  void HoldBack(const Job& job, const TaskId& id, const Resources& request);
  /// Drops jobs whose retention has passed and that have no run left.
  void ExpireFinalJobs(TimePoint now);
  /// Drops executors that have been unlisted for a grace period and have no run left.
  void RemoveEndedExecutors(TimePoint now);
  /// @return the resources of an executor that are allocated to long-running tasks.
  Resources LongRunningUse(const ExecutorState& executor) const;
  /// @return the summaries that differ from the published ones.
  std::vector<QueueSummary> SummariseQueues() const;

  SchedulerOptions m_options;
  std::map<QueueName, QueuePolicy> m_queues;
  std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
  std::set<JobId> m_open_jobs;
  std::map<ExecutorId, ExecutorState> m_executors;
  std::unique_ptr<DurationModel> m_durations;
  JobRanking m_ranking;
  Orders m_orders;
  int64_t m_last_run_number = 0;
  bool m_fenced = false;
  /// Runs given up after the lease of their executor's present incarnation.
  std::map<std::pair<TaskId, int64_t>, ExecutorId> m_abandoned_runs;
  std::set<JobId> m_dirty_jobs;
  JobId m_last_taken_job;  ///< Commits take dirty jobs in turn, so that none is left out for long.
  std::set<ExecutorId> m_dirty_links;
  std::set<ExecutorId> m_unsettled;  ///< Executors with ends whose effects are not durable.
  std::set<ExecutorId> m_removed_links;
  std::map<QueueName, int64_t> m_published_pending;
  std::deque<std::pair<TimePoint, JobId>> m_final_jobs;  // In the order in which they ended.
  std::set<JobId> m_expired_jobs;
  std::set<JobId> m_removed_jobs;
  std::vector<SchedulerNote> m_notes;
  bool m_plan_needed = true;
  double m_waiting_cores = 0;
  std::vector<TaskId> m_waiting_long_running;  ///< That the last planning could not place.
  /// Steps that the last planning could not place on executors with a valid ticket, in the order of
  /// their ranks; indices are unused.
  std::vector<TaskId> m_steps_without_ticket;
  int64_t m_last_incarnation_number = 0;
  TeamQuotas m_team_quotas;
  TeamShares m_team_shares;
  TimePoint m_periodic_plan_at{};
  /// Number of the current pass over the steps whose constraints keep them from being placed. Such
  /// a pass takes several planning rounds if there are many.
  int64_t m_constrained_pass = 1;
  bool m_seek_stragglers = false;  ///< In the next planning.
  StartBudget m_budget;
  const StartCost* m_cost = nullptr;  ///< During Plan.
  Duration m_wait_for_link{};
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_POOL_SCHEDULER_H_
