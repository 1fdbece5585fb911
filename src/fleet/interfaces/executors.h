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

/// Where an executor is, and on whose behalf it is called.
struct ExecutorAddress {
  scheduling::ExecutorId id;
  std::string address;
};

/// Asks an executor for its runs and extends the lease of all of them.
struct HoldCall {
  std::optional<int64_t> lease_until_ms;  ///< On the executor's clock; absent: not extended.
  int64_t fencing_token = 0;
  int64_t acknowledged_end = 0;
  Duration wait{};  ///< Longest time for which the executor waits for an end.
  Duration timeout{};
  StopSignal* abort = nullptr;
};

enum class HoldOutcome {
  kReported,
  kFenced,         ///< The executor has seen a newer owner.
  kOtherExecutor,  ///< Another executor has the address now.
  kNoAnswer,
};

struct HoldResult {
  HoldOutcome outcome = HoldOutcome::kNoAnswer;
  scheduling::ExecutorReport report;
  std::string error;
};

struct StartCall {
  const scheduling::StartOrder& order;
  int64_t lease_until_ms = 0;  ///< On the executor's clock.
  int64_t fencing_token = 0;
  Duration timeout{};
};

/// Calls to executors. All of them may be repeated.
class Executors {
 public:
  virtual ~Executors() = default;

  virtual QCoro::Task<HoldResult> Hold(ExecutorAddress to, HoldCall call) = 0;
  virtual QCoro::Task<scheduling::StartAnswer> Start(ExecutorAddress to, StartCall call) = 0;
  virtual QCoro::Task<scheduling::StopAnswer> Stop(ExecutorAddress to, scheduling::StopOrder order,
                                                   int64_t fencing_token, Duration timeout) = 0;
  virtual QCoro::Task<Ret> Pace(ExecutorAddress to, scheduling::PaceOrder order,
                                int64_t fencing_token, Duration timeout) = 0;
};

/// Leave of the placement adviser to run a step on one executor.
struct Ticket {
  scheduling::ExecutorId executor;
  std::string value;
};

struct Advice {
  std::vector<Ticket> tickets;
  Duration validity{};
};

/// Knows which executors may run a step, on queues whose policy asks for it.
class PlacementAdviser {
 public:
  virtual ~PlacementAdviser() = default;

  /// @return the tickets; kResourceExhausted when too many calls wait.
  virtual QCoro::Task<RetVal<Advice>> Advise(scheduling::TaskId step,
                                             std::vector<scheduling::ExecutorId> candidates,
                                             Duration timeout) = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_EXECUTORS_H_
