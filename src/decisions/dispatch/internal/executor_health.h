#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_HEALTH_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_HEALTH_H_

#include <optional>

#include "base/time.h"

namespace citronferry::dispatch {

/// Outlier detection for one executor, based on the outcomes of its attempts. The owner decides on
/// the ejection, because it depends on the rest of the pool. After a pause that grows with each
/// ejection one probe is allowed, and successes then restore the slots step by step.
class ExecutorHealth {
 public:
  /// Records the outcome of an attempt.
  void Record(bool success, TimePoint now);
  /// Retracts the latest failure, which was caused by the request and not by the executor.
  void RetractFailure();
  /// Allows no slots until a pause is over.
  void Eject(TimePoint now);
  /// Restores all slots; the executor counts as failing until it succeeds.
  void Reinstate(TimePoint now);
  /// @return the time until which past failures lower the rank of the executor. Without an end, an
  ///   executor that ranks behind the others would never be chosen under a light load.
  std::optional<TimePoint> penalty_until() const { return m_penalty_until; }
  /// Ends the penalty if its time is over.
  void EndPenaltyIfDue(TimePoint now);

  /// @return whether most recent attempts failed or the executor is ejected.
  bool IsFailing() const;
  bool IsEjected() const { return m_state == State::kEjected; }
  /// @return whether the executor is ejected and may receive a probe.
  bool IsProbeDue(TimePoint now) const { return IsEjected() && now >= m_probe_at; }
  /// @return the end of the pause after the latest ejection.
  TimePoint probe_at() const { return m_probe_at; }
  /// @return whether a failure is evidence against the request, because the executor is healthy and
  ///   has recently answered other requests.
  bool IsReliable() const {
    return m_state == State::kHealthy && m_successes > 0 && m_successes >= m_failures;
  }
  /// @return the fraction of recent attempts that failed, biased towards 0 when there are few; 0
  ///   after the end of the penalty.
  double Penalty() const {
    return m_penalty_until ? m_failures / (m_successes + m_failures + 1) : 0;
  }
  /// @param slots slots of the executor.
  /// @return the number of slots that may be used.
  int SlotLimit(int slots, TimePoint now) const;

 private:
  enum class State { kHealthy, kEjected, kRecovering };

  void Recover(TimePoint now);

  State m_state = State::kHealthy;
  double m_successes = 0;  ///< Exponentially decayed count.
  double m_failures = 0;   ///< Exponentially decayed count.
  TimePoint m_recorded_at{};
  TimePoint m_probe_at{};
  TimePoint m_recovered_at{};
  std::optional<TimePoint> m_penalty_until;
  int m_ejections = 0;       ///< Consecutive ejections without a long healthy time between them.
  int m_recovery_slots = 0;  ///< Slots allowed while recovering.
  int m_recovery_successes = 0;  ///< Successes since the slots were last increased.
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_HEALTH_H_
