#ifndef CITRONFERRY_FLEET_INTERFACES_EXECUTORS_H_
#define CITRONFERRY_FLEET_INTERFACES_EXECUTORS_H_

#include <qcoro/qcorotask.h>

#include <optional>
#include <string>
#include <vector>

#include "base/ret.h"
#include "base/time.h"
#include "decisions/scheduling/types.h"
#include "supervision/awaitables.h"

namespace citronferry::fleet {

/// Identity and network address of an executor.
struct ExecutorAddress {
  scheduling::ExecutorId id;
  std::string address;  ///< IP address and port.
  EntryId relay;  ///< Entry that makes the call, if it can be reached; empty for a direct call.
  /// Start time of the incarnation that the call is meant for. An executor that restarts keeps its
  /// id and address, so starts, leases and acknowledgements are sent only where this incarnation
  /// has answered before. Nothing: any incarnation.
  std::optional<int64_t> incarnation_unix_ms;
};

/// Long poll for the runs of an executor, which also extends the lease of all of them.
struct HoldCall {
  /// New end of the lease on the executor's clock; without a value the lease is not extended.
  std::optional<int64_t> lease_until_ms;
  int64_t fencing_token = 0;     ///< Of the calling owner; see ExecutorSession.
  int64_t acknowledged_end = 0;  ///< Number of the last ended run whose effect is durable.
  Duration wait{};               ///< Longest time for which the executor waits for a run to end.
  Duration timeout{};            ///< Longest time for the response beyond `wait`.
  StopSignal* abort = nullptr;   ///< Aborts the call when requested.
};

enum class HoldOutcome {
  kReported,
  kFenced,         ///< The executor has been called by a newer owner.
  kOtherExecutor,  ///< Another executor has the address now.
  kNoAnswer,
  /// The relay gave no result, so the executor may still carry out the call, or it did not make the
  /// call, which arrived late.
  kRelayFailed,
};

struct HoldResult {
  HoldOutcome outcome = HoldOutcome::kNoAnswer;
  scheduling::ExecutorReport report;  ///< After kReported.
  std::string error;
};

/// Starts a run of a task.
struct StartCall {
  const scheduling::StartOrder& order;
  int64_t lease_until_ms = 0;  ///< End of the lease on the executor's clock.
  int64_t fencing_token = 0;   ///< Of the calling owner; see ExecutorSession.
  Duration timeout{};
};

struct StartResult {
  scheduling::StartAnswer answer = scheduling::StartAnswer::kUnknown;
  std::string error;  ///< Why the order was not sent or had no answer, for the log.
};

/// Calls to executors. All of them are idempotent.
class Executors {
 public:
  virtual ~Executors() = default;

  virtual QCoro::Task<HoldResult> Hold(ExecutorAddress to, HoldCall call) = 0;
  virtual QCoro::Task<StartResult> Start(ExecutorAddress to, StartCall call) = 0;
  virtual QCoro::Task<scheduling::StopAnswer> Stop(ExecutorAddress to, scheduling::StopOrder order,
                                                   int64_t fencing_token, Duration timeout) = 0;
  /// Sets the share of its capacity that a task may use.
  virtual QCoro::Task<Ret> Pace(ExecutorAddress to, scheduling::PaceOrder order,
                                int64_t fencing_token, Duration timeout) = 0;
};

/// Permission of the placement adviser to run a step on an executor.
struct Ticket {
  scheduling::ExecutorId executor;
  std::string value;  ///< Opaque; passed to the executor with each start.
};

/// Response of the placement adviser.
struct Advice {
  std::vector<Ticket> tickets;
  Duration validity{};  ///< Of all tickets.
};

/// External service that decides which executors may run a step, for queues whose policy requires
/// it.
class PlacementAdviser {
 public:
  virtual ~PlacementAdviser() = default;

  /// @param candidates executors to choose from.
  /// @return the tickets, or kResourceExhausted if too many calls are queued.
  virtual QCoro::Task<RetVal<Advice>> Advise(scheduling::TaskId step,
                                             std::vector<scheduling::ExecutorId> candidates,
                                             Duration timeout) = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_EXECUTORS_H_
