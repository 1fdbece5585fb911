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

/// Number of a request within one entry, never reused while the process lives.
using RequestNumber = uint64_t;

/// What the policy says about one queue.
struct QueuePolicy {
  PoolName pool;
  Priority priority = Priority::kInteractive;
  bool idempotent = false;
  Duration declared_run_time = 1s;  ///< First guess until run times have been observed.
  Duration wait_limit = 30s;        ///< Longest time in the queue, whatever the deadline.
  size_t max_queued = 1000;
  int max_attempts = 3;
};

struct PoolPolicy {
  /// Share of the slots kept free for urgent work, if the pool has an urgent queue. Rounded up, but
  /// one slot is always left for other work.
  double urgent_reserve = 0.25;
};

struct TeamPolicy {
  double weight = 1.0;  ///< Share of a contended pool relative to the other teams.
  /// Attempts of the team that this entry runs at the same time, over all pools; 0 sets no limit.
  size_t max_in_flight = 0;
  std::set<QueueName> queues;  ///< Queues that the team may use; empty allows every queue.
};

struct Policy {
  std::map<QueueName, QueuePolicy> queues;
  std::map<PoolName, PoolPolicy> pools;
  std::map<TeamName, TeamPolicy> teams;  ///< If empty, every team is accepted with weight 1.
  double retry_budget = 0.1;             ///< Retries allowed for each first attempt.
};

struct ExecutorState {
  InstanceId id;
  PoolName pool;
  int slots = 0;         ///< Slots that this entry may use, loans included.
  bool leaving = false;  ///< Receives no new work.
};

/// Use of an executor by this entry. An executor that has left the list is reported with no slots
/// until its last attempt has ended.
struct ExecutorLoad {
  InstanceId id;
  int slots = 0;
  int in_use = 0;
  bool ejected = false;
};

/// State of a queue.
struct QueueLoad {
  QueueName name;
  size_t waiting = 0;
  Duration typical_run_time{};
};

enum class AttemptOutcome {
  kAnswered,   ///< The backend server's answer was received.
  kNotRun,     ///< Certainly not run.
  kFailed,     ///< The backend server reported a failure of its own.
  kUnknown,    ///< May or may not have run.
  kWithdrawn,  ///< Given up by this entry before it was sent; says nothing about the executor.
};
inline constexpr size_t kAttemptOutcomeCount = 5;

struct Request {
  RequestNumber number = 0;
  QueueName queue;
  TeamName team;
  TimePoint deadline;
};

// Events.

struct PolicyChanged {
  Policy policy;
};
struct ExecutorsChanged {
  std::vector<ExecutorState> executors;
};
struct RequestArrived {
  Request request;
};
/// The request gets no further action. If it is running, its slot stays in use until AttemptEnded.
struct RequestCancelled {
  RequestNumber number = 0;
};
struct AttemptEnded {
  RequestNumber number = 0;
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
};
/// Time passed; expires requests that waited too long.
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

enum class Verdict {
  kAnswered,
  kNotRun,
  kUnknown,
  kFailed,  ///< The backend server failed it, or it can never run; the reason tells which.
};

/// The request has ended.
struct EndRequest {
  RequestNumber number = 0;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  Duration retry_after{};  ///< When a new try is likely to succeed; zero if unknown.
};

using Action = std::variant<StartAttempt, EndRequest>;

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_TYPES_H_
