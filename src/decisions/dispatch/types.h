#ifndef CITRONFERRY_DECISIONS_DISPATCH_TYPES_H_
#define CITRONFERRY_DECISIONS_DISPATCH_TYPES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"

namespace citronferry::dispatch {

/// Identifies a request within one entry; unique for the lifetime of the process.
using RequestNumber = uint64_t;

/// Settings of a queue.
struct QueuePolicy {
  PoolName pool;
  Priority priority = Priority::kInteractive;
  bool idempotent = false;          ///< A request may run more than once.
  Duration declared_run_time = 1s;  ///< Estimate until run times have been observed.
  Duration wait_limit = 30s;        ///< Longest time in the queue, whatever the deadline.
  size_t max_queued = 1000;         ///< Requests of the queue that may wait at the same time.
  int max_attempts = 3;
};

/// Settings of a pool.
struct PoolPolicy {
  /// Fraction of the slots reserved for urgent requests, if the pool has an urgent queue. Rounded
  /// up to whole slots, but at least one slot remains for other requests.
  double urgent_reserve = 0.25;
};

/// Settings of a team.
struct TeamPolicy {
  double weight = 1.0;  ///< Share of a contended pool relative to the other teams.
  /// Attempts of the team that this entry runs at the same time, over all pools; 0 sets no limit.
  size_t max_in_flight = 0;
  std::set<QueueName> queues;  ///< Queues that the team may use; empty allows every queue.
};

/// Settings that the dispatcher applies.
struct Policy {
  std::map<QueueName, QueuePolicy> queues;
  std::map<PoolName, PoolPolicy> pools;
  std::map<TeamName, TeamPolicy> teams;  ///< If empty, every team is accepted with weight 1.
  double retry_budget = 0.1;             ///< Retries allowed for each first attempt.
};

/// Executor as announced to the dispatcher.
struct ExecutorState {
  InstanceId id;
  PoolName pool;
  int slots = 0;         ///< Slots that this entry may use, including borrowed ones.
  bool leaving = false;  ///< Receives no new requests.
};

/// Use of an executor by this entry. An executor that is no longer listed is reported with zero
/// slots until its last attempt has ended.
struct ExecutorLoad {
  InstanceId id;
  int slots = 0;
  int in_use = 0;
  bool ejected = false;  ///< Excluded because of failures, apart from probes.
};

/// Load of a queue.
struct QueueLoad {
  QueueName name;
  size_t waiting = 0;
  Duration typical_run_time{};
};

/// Result of sending a request to an executor once.
enum class AttemptOutcome {
  kAnswered,   ///< The answer of the backend server was received.
  kNotRun,     ///< The request was certainly not run.
  kFailed,     ///< The backend server reported an internal failure.
  kUnknown,    ///< The request may or may not have run.
  kWithdrawn,  ///< Cancelled by this entry before sending; does not affect the executor's health.
};
inline constexpr size_t kAttemptOutcomeCount = 5;

struct Request {
  RequestNumber number = 0;
  QueueName queue;
  TeamName team;
  TimePoint deadline;
};

// Events.

/// The policy changes; waiting requests are queued again or ended under the new one.
struct PolicyChanged {
  Policy policy;
};
/// The complete list of executors, which replaces the previous one.
struct ExecutorsChanged {
  std::vector<ExecutorState> executors;
};
struct RequestArrived {
  Request request;
};
/// The request needs no more actions. If it is running, its slot stays in use until AttemptEnded.
struct RequestCancelled {
  RequestNumber number = 0;
};
struct AttemptEnded {
  RequestNumber number = 0;
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
};
/// Time has passed; ends the requests that have waited too long.
struct Tick {};

using Event = std::variant<PolicyChanged, ExecutorsChanged, RequestArrived, RequestCancelled,
                           AttemptEnded, Tick>;

// Actions.

/// Send the request to an executor now.
struct StartAttempt {
  RequestNumber number = 0;
  InstanceId executor;
  int attempt = 1;  ///< Counts from 1.
};

/// Final result of a request over all its attempts.
enum class Verdict {
  kAnswered,
  kNotRun,   ///< No attempt has run.
  kUnknown,  ///< An attempt may or may not have run.
  kFailed,   ///< The backend server failed or the request can never run; see the reason.
};

/// The request has ended.
struct EndRequest {
  RequestNumber number = 0;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  Duration retry_after{};  ///< Time after which a new request may succeed; zero if unknown.
};

using Action = std::variant<StartAttempt, EndRequest>;

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_TYPES_H_
