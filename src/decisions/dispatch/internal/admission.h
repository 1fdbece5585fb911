#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ADMISSION_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ADMISSION_H_

#include <optional>
#include <string>

#include "decisions/dispatch/internal/state.h"

namespace citronferry::dispatch {

struct Refusal {
  std::string reason;
  Duration retry_after{};
};

/// Decides whether a request enters its queue.
class Admission {
 public:
  Admission(const QueueState& queue, const TeamState& team, TimePoint deadline, TimePoint now);

  /// @return why the request is refused, or nothing.
  std::optional<Refusal> Check() const;

 private:
  using CheckFunction = std::optional<Refusal> (Admission::*)() const;

  std::optional<Refusal> CheckDeadline() const;
  std::optional<Refusal> CheckEstimate() const;
  std::optional<Refusal> CheckQueueLength() const;

  Duration OptimisticWait() const;

  const QueueState& m_queue;
  const TeamState& m_team;
  Duration m_time_left;
  Duration m_run_time;  ///< Optimistic.
};

/// @return when the work that waits for a class is likely to have drained, for Retry-After.
Duration EstimateDrain(const QueueState& queue);

/// @return true when even an optimistic run time ends after the deadline.
bool CannotMeetDeadline(const RequestRecord& record, TimePoint now);

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ADMISSION_H_
