#ifndef CITRONFERRY_DECISIONS_SCHEDULING_TYPES_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_TYPES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/ret.h"
#include "base/time.h"

namespace citronferry::scheduling {

/// Identifies an instance in its role as an executor. A replaced or moved instance gets a new id.
using ExecutorId = StrongId<struct ExecutorIdTag>;

/// Capacity of an executor, or the share of it that a task requests.
struct Resources {
  int64_t cpu_millicores = 0;
  int64_t memory_mb = 0;
  int64_t gpus = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
  friend bool operator==(const Resources&, const Resources&) = default;
};

/// @return the CPU capacity in cores.
double Cores(const Resources& resources);

/// @return whether the free resources suffice for a request.
bool Fits(const Resources& request, const Resources& free);

/// A step of a job: a set of tasks that run the same image with the same requirements.
struct StepSpec {
  int replicas = 1;
  Resources request;  ///< Resources of each task.
  Duration estimated_duration{};
  std::vector<int> after;  ///< Indices of the steps that must be done first, from 0.
  std::string image;
  std::string required_label;  ///< Executors without it are not used; empty for none.
  RackName data_rack;  ///< Tasks run slower on any other rack; empty if there is no preference.
  int max_per_executor = 0;     ///< Upper limit of the step's tasks on one executor; 0: no limit.
  int max_unavailable = 0;      ///< Disruption budget of the step, in tasks; 0: no limit.
  Duration tail_target{};       ///< Upper limit of the tail latency that the tasks' users see.
  bool gang_scheduled = false;  ///< The tasks start together or not at all.
  bool same_rack = false;       ///< The tasks run slower if they are spread over racks.
  bool checkpoints = false;     ///< A restarted task continues from its last checkpoint.
  bool copies_allowed = false;  ///< A second run may start while an executor does not respond.
  bool long_running = false;    ///< The tasks run until the job is cancelled.
  bool uses_leftover_cpu = false;  ///< Best-effort tasks: their CPU request is not charged.
};

/// Times at which a scheduled job runs. A job without occurrences runs once, immediately.
struct Schedule {
  int64_t first_due_unix_ms = 0;
  int64_t interval_ms = 0;  ///< Between two occurrences.
  int occurrences = 0;      ///< Number of runs of the whole job; 0 if it is not scheduled.
};

/// Scheduling policy of a queue, from the active configuration.
struct QueuePolicy {
  QueueName name;
  PoolName pool;
  int priority = 0;               ///< 0 is the highest.
  int max_attempts = 1;           ///< Runs of a task that may fail before its job fails.
  double latency_multiplier = 1;  ///< Of the duration of the job; see JobRanking::Objective.
  Duration target_latency{};      ///< Added to the multiplied duration.
  Duration advice_delay{};  ///< Fixed time of a call to the placement adviser; see needs_advice.
  Duration advice_per_executor{};  ///< Additional time for each executor in the call.
  Duration advice_validity{};      ///< How long the tickets of a call are valid.
  bool needs_advice = false;  ///< Its steps run only on executors with a ticket of the adviser.
};

/// A job as it was accepted. Immutable.
struct JobDefinition {
  JobId id;
  QueueName queue;
  TeamName team;  ///< Team that submitted it; empty for jobs of public queues.
  std::string payload;
  std::vector<StepSpec> steps;
  Schedule schedule;
  int64_t accepted_unix_ms = 0;
  /// Policy under which the job was accepted. It applies if the active configuration no longer
  /// contains the queue, or assigns it to another pool.
  QueuePolicy accepted_policy;
};

/// Largest number of tasks of one occurrence of a job. It limits the memory that a job takes; the
/// largest jobs have some hundred tasks.
inline constexpr int kMaxTasks = 10'000;
/// Largest number of occurrences of a scheduled job: one every 30 s for a year.
inline constexpr int kMaxOccurrences = 1'000'000;

/// @return kInvalidArgument with the reason if the job can never run: it has no step, too many
///   tasks, a step without tasks, or a step that follows itself or a later one.
Ret Validate(const JobDefinition& definition);

/// @return whether a step of the job runs until the job is cancelled.
bool IsLongRunning(const JobDefinition& definition);

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// @return whether the state is final.
bool IsFinal(JobState state);

/// Identifies a task. Occurrences, steps and the tasks of a step are counted from 0.
struct TaskId {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Durable state of a job, stored apart from its definition.
struct JobProgress {
  struct Occurrence {
    int number = 0;
    /// One character for each task of a step: 'D' if it is done, otherwise '-'. Empty if the whole
    /// occurrence is finished.
    std::vector<std::string> steps;
  };
  struct Checkpoint {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    std::string value;
  };

  /// A run whose failure has been counted, so that a later owner does not count it again.
  struct FailedRun {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int64_t run = 0;
  };

  JobState state = JobState::kQueued;
  TeamName team;  ///< Of the definition, so that the state can be shown without reading it.
  int finished_occurrences = 0;         ///< All occurrences with a lower number are finished.
  std::vector<Occurrence> occurrences;  ///< Open ones, and those that finished out of order.
  std::vector<Checkpoint> checkpoints;
  std::vector<FailedRun> failed_runs;
};

/// An executor as listed in the registry.
struct ExecutorDescription {
  ExecutorId id;
  PoolName pool;
  std::string address;  ///< IP address and port.
  DataCentreName data_centre;
  RackName rack;
  std::vector<std::string> labels;
  Resources capacity;
  int64_t incarnation_unix_ms = 0;  ///< Start time; distinguishes incarnations with the same id.
  bool leaving = false;             ///< It is about to shut down.

  friend bool operator==(const ExecutorDescription&, const ExecutorDescription&) = default;
};

/// A run that an executor reports as running.
struct ActiveRun {
  TaskId task;
  int64_t run = 0;
  std::string checkpoint;
  int percent = 0;  ///< Progress; see kReadyPercent for long-running tasks.
  /// Tail latency in milliseconds for a task with a tail target, otherwise the CPU in use.
  double metric = 0;
};

/// How a run ended.
enum class RunEnd { kDone, kFailed, kStopped, kLeaseExpired, kBroken, kGangIncomplete };

/// A run that an executor reports as ended.
struct EndedRun {
  int64_t number = 0;  ///< Sequence number of the end within the executor's incarnation, from 1.
  TaskId task;
  int64_t run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// An executor's report on its runs.
struct ExecutorReport {
  int64_t incarnation_unix_ms = 0;
  int64_t clock_ms = 0;  ///< The executor's steady clock.
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;  ///< Ends that the owner has not acknowledged, in order.
  /// More runs may have ended than the report lists. The rest is listed once these ends are
  /// acknowledged.
  bool incomplete = false;
};

/// Result of a start order.
enum class StartAnswer {
  kStarted,
  kFenced,       ///< The executor has seen the fencing token of a newer owner.
  kRunOutdated,  ///< The executor has had a run of the task with this id or a higher one.
  kDeadlinePassed,
  kInsufficientCapacity,
  kTicketInvalid,
  kMalformed,
  kUnhealthy,      ///< The executor is unhealthy and has not started the run.
  kOtherExecutor,  ///< Another executor uses the address now.
  kNotSent,        ///< The order could not be sent to the executor in time.
  kUnknown,        ///< No response: the run may have started, or may start later.
  kWithdrawn,      ///< The owner did not send the order, for a reason other than the executor.
};

/// Result of a stop order.
enum class StopAnswer { kAccepted, kFenced, kOtherExecutor, kUnknown };

/// Starts a run of a task.
struct StartOrder {
  ExecutorId executor;
  TaskId task;
  int64_t run = 0;
  std::shared_ptr<const JobDefinition> definition;
  std::string checkpoint;  ///< Where the task continues; empty for its beginning.
  std::string ticket;      ///< Issued by the placement adviser; empty if none is needed.
  /// The order is not sent after this time, if there is one: it relies on a report that ages.
  std::optional<TimePoint> send_before;
  int64_t incarnation_unix_ms = 0;  ///< Of the executor, as known when the order was given.
};

/// Stops a run.
struct StopOrder {
  ExecutorId executor;
  TaskId task;
  int64_t run = 0;
  int64_t incarnation_unix_ms = 0;  ///< Of the executor, as known when the order was given.
};

/// Limits the share of its capacity that a task may use.
struct PaceOrder {
  ExecutorId executor;
  TaskId task;
  int64_t run = 0;
  int percent = 100;  ///< Of its capacity.
};

/// Orders that the owner has to send to executors.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TYPES_H_
