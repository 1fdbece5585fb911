#ifndef CITRONFERRY_DECISIONS_SCHEDULING_TYPES_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_TYPES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::scheduling {

/// One life of an instance as an executor. A replaced or moved instance gets a new one.
using ExecutorId = StrongId<struct ExecutorIdTag>;

/// Capacity of an executor, or what a task takes of it.
struct Resources {
  int64_t cpu_millicores = 0;
  int64_t memory_mb = 0;
  int64_t gpus = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
  friend bool operator==(const Resources&, const Resources&) = default;
};

/// @return the CPU of resources in cores.
double Cores(const Resources& resources);

/// @return whether a request fits into what is free.
bool Fits(const Resources& request, const Resources& free);

/// Tasks that run the same image with the same needs.
struct StepSpec {
  int replicas = 1;
  Resources request;  ///< Of each task.
  Duration estimated_duration{};
  std::vector<int> after;  ///< Earlier steps that must be done first, counted from 0.
  std::string image;
  std::string required_label;
  RackName data_rack;  ///< Tasks run slower on any other rack; empty if there is no preference.
  int max_per_executor = 0;     ///< 0: no bound.
  int max_unavailable = 0;      ///< Tasks that we may take out of service at a time; 0: no bound.
  Duration tail_target{};       ///< Bound of the response times that the tasks' users see.
  bool gang_scheduled = false;  ///< The tasks run as a gang.
  bool same_rack = false;       ///< The tasks run slower when they are spread over racks.
  bool checkpoints = false;
  bool copies_allowed = false;
  bool long_running = false;       ///< Runs until the job is cancelled.
  bool uses_leftover_cpu = false;  ///< The CPU request is not counted against the capacity.
};

/// Times at which the steps of a job run; a job without occurrences runs once, at once.
struct Schedule {
  int64_t first_due_unix_ms = 0;
  int64_t interval_ms = 0;
  int occurrences = 0;
};

/// Rules of a queue, from the configuration in force.
struct QueuePolicy {
  QueueName name;
  PoolName pool;
  int priority = 0;  ///< 0 goes first.
  int max_attempts = 1;
  double latency_multiplier = 1;
  Duration target_latency{};
  Duration advice_delay{};  ///< Time of one call to the placement adviser; see needs_advice.
  Duration advice_per_executor{};
  Duration advice_validity{};
  bool needs_advice = false;  ///< Only executors that the adviser names may run its steps.
};

/// A job as it was accepted. It never changes.
struct JobDefinition {
  JobId id;
  QueueName queue;
  std::string payload;
  std::vector<StepSpec> steps;
  Schedule schedule;
  int64_t accepted_unix_ms = 0;
  /// Rules under which it was accepted. They hold when the configuration in force does not name the
  /// queue any more, or lets another pool serve it.
  QueuePolicy accepted_policy;
};

/// @return whether a step of the job runs until the job is cancelled.
bool IsLongRunning(const JobDefinition& definition);

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// @return whether the state is final.
bool IsFinal(JobState state);

struct TaskId {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;  // NOLINT(modernize-use-nullptr)
};

/// What of a job is durable beside its definition.
struct JobProgress {
  /// One character for each task: 'D' when it is done, else '-'.
  struct Occurrence {
    int number = 0;
    std::vector<std::string> steps;
  };
  struct Checkpoint {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    std::string value;
  };

  /// A run whose failure is counted, so that no owner counts it again.
  struct FailedRun {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int64_t run = 0;
  };

  JobState state = JobState::kQueued;
  int finished_occurrences = 0;
  std::vector<Occurrence> occurrences;  ///< Those that have begun and are not finished.
  std::vector<Checkpoint> checkpoints;
  std::vector<FailedRun> failed_runs;
};

/// An executor as the registry lists it.
struct ExecutorDescription {
  ExecutorId id;
  PoolName pool;
  std::string address;  ///< IP address and port.
  DataCentreName data_centre;
  RackName rack;
  std::vector<std::string> labels;
  Resources capacity;
  int64_t incarnation_unix_ms = 0;  ///< Tells the lives of an executor under the same id apart.
  bool leaving = false;

  friend bool operator==(const ExecutorDescription&, const ExecutorDescription&) = default;
};

struct ActiveRun {
  TaskId task;
  int64_t run = 0;
  std::string checkpoint;
  int percent = 0;
  /// For a task with a tail target its tail in milliseconds, otherwise CPU in use.
  double metric = 0;
};

enum class RunEnd { kDone, kFailed, kStopped, kLeaseExpired, kBroken, kGangIncomplete };

struct EndedRun {
  int64_t number = 0;  ///< Counts the ends of one life of the executor, from 1.
  TaskId task;
  int64_t run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// What an executor says about its runs.
struct ExecutorReport {
  int64_t incarnation_unix_ms = 0;
  int64_t clock_ms = 0;  ///< The executor's own steady clock.
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;  ///< Those that were not acknowledged, in order.
};

enum class StartAnswer {
  kStarted,
  kFenced,       ///< The executor has seen a newer owner.
  kRunOutdated,  ///< A run of the task with this id or a higher one has been there.
  kDeadlinePassed,
  kInsufficientCapacity,
  kTicketInvalid,
  kMalformed,
  kUnhealthy,      ///< The executor has done nothing.
  kOtherExecutor,  ///< Another executor has the address now.
  kNotSent,        ///< The order was withheld.
  kUnknown,        ///< No answer: it may run, or start later.
};

enum class StopAnswer { kAccepted, kFenced, kOtherExecutor, kUnknown };

struct StartOrder {
  ExecutorId executor;
  TaskId task;
  int64_t run = 0;
  std::shared_ptr<const JobDefinition> definition;
  std::string checkpoint;
  std::string ticket;
};

struct StopOrder {
  ExecutorId executor;
  TaskId task;
  int64_t run = 0;
};

/// Sets the share of its capacity that a task may use.
struct PaceOrder {
  ExecutorId executor;
  TaskId task;
  int64_t run = 0;
  int percent = 100;
};

struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TYPES_H_
