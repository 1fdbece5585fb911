#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ADMISSION_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ADMISSION_H_

#include <optional>
#include <string>

#include "decisions/dispatch/internal/state.h"

namespace citronferry::dispatch {

/// Reason why a request is not admitted.
struct Refusal {
  std::string reason;
  Duration retry_after{};  ///< Time after which a new request may be admitted; zero if unknown.
};

/// Admission control: decides whether a request is queued or refused at once.
class Admission {
 public:
  /// @param deadline time by which the request has to be answered.
  Admission(const QueueState& queue, const TeamState& team, TimePoint deadline, TimePoint now);

  /// @return the refusal, or nothing if the request is admitted.
  std::optional<Refusal> Check() const;

 private:
  using CheckFunction = std::optional<Refusal> (Admission::*)() const;

  std::optional<Refusal> CheckDeadline() const;
  std::optional<Refusal> CheckEstimate() const;
  std::optional<Refusal> CheckQueueLength() const;

  /// @return a lower estimate of the time until a slot is free for the request.
  Duration OptimisticWait() const;

  const QueueState& m_queue;
  const TeamState& m_team;
  Duration m_time_left;
  Duration m_run_time;  ///< Optimistic estimate.
};

/// @return the estimated time for the waiting requests of the queue to drain, for Retry-After.
Duration EstimateDrain(const QueueState& queue);

/// @return whether the request would miss its deadline even with the optimistic run time from now.
bool CannotMeetDeadline(const RequestRecord& record, TimePoint now);

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ADMISSION_H_
