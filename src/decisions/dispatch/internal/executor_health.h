#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_HEALTH_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_HEALTH_H_

#include <optional>

#include "base/time.h"

namespace citronferry::dispatch {

/// Judges one executor by the outcomes of its attempts. The owner decides on the ejection, since it
/// depends on the rest of the pool. After a pause that grows with each ejection one probe is
/// allowed, and successes return the slots step by step.
class ExecutorHealth {
 public:
  void Record(bool success, TimePoint now);
  /// Takes back the latest failure, which turned out to be the request's own.
  void RetractFailure();
  void Eject(TimePoint now);
  /// Returns all slots; the executor stays failing until it succeeds.
  void Reinstate(TimePoint now);
  /// @return until when past failures count in the order of choice. Without an end, an executor
  /// that
  ///   ranks behind the others would receive nothing for ever under a light load.
  std::optional<TimePoint> penalty_until() const { return m_penalty_until; }
  void EndPenaltyIfDue(TimePoint now);

  /// @return true when most recent attempts failed, whether ejected or not.
  bool IsFailing() const;
  bool IsEjected() const { return m_state == State::kEjected; }
  /// @return true when an ejected executor may receive a probe.
  bool IsProbeDue(TimePoint now) const { return IsEjected() && now >= m_probe_at; }
  TimePoint probe_at() const { return m_probe_at; }
  /// @return true when a failure here says something about the request, because the executor has
  /// lately answered others.
  bool IsReliable() const {
    return m_state == State::kHealthy && m_successes > 0 && m_successes >= m_failures;
  }
  /// @return the share of recent attempts that failed, leaning to 0 when there are few; 0 once the
  ///   penalty has ended.
  double Penalty() const {
    return m_penalty_until ? m_failures / (m_successes + m_failures + 1) : 0;
  }
  /// @return how many of the executor's slots may be used.
  int SlotLimit(int slots, TimePoint now) const;

 private:
  enum class State { kHealthy, kEjected, kRecovering };

  void Recover(TimePoint now);

  State m_state = State::kHealthy;
  double m_successes = 0;  ///< Decayed counts.
  double m_failures = 0;
  TimePoint m_recorded_at{};
  TimePoint m_probe_at{};
  TimePoint m_recovered_at{};
  std::optional<TimePoint> m_penalty_until;
  int m_ejections = 0;       ///< In a row, without a long healthy time between them.
  int m_recovery_slots = 0;  ///< Slots allowed while recovering.
  int m_recovery_successes = 0;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXECUTOR_HEALTH_H_
