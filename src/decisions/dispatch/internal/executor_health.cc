#include "decisions/dispatch/internal/executor_health.h"

#include <algorithm>
#include <cmath>

namespace citronferry::dispatch {
namespace {

// Counts decay mainly by outcome: with a decay by time alone, an entry with one slot of an executor
// whose attempts time out after 30 s would never accumulate enough failures.
constexpr double kDecayByOutcome = 0.9;
constexpr double kHalfLifeSeconds = 300;
// Five consecutive failures decay to a count of 4.1. A request that fails everywhere causes only
// one failure on each executor, so a single such request does not eject an executor.
constexpr double kFailingCount = 4;
constexpr double kReinstatedFailures = 5;
constexpr Duration kFirstPause = 2s;
constexpr Duration kLongestPause = 60s;
constexpr int kMaxDoublings = 5;
constexpr Duration kEjectionCountResetTime = 60s;
constexpr int kFullRecoverySlots = 8;

}  // namespace

void ExecutorHealth::Record(bool success, TimePoint now) {
  // Attempts that end during the pause were started before the ejection and are no new evidence.
  if (IsEjected() && !IsProbeDue(now)) return;
  const double elapsed = ToSeconds(now - m_recorded_at);
  const double factor = kDecayByOutcome * std::exp2(-elapsed / kHalfLifeSeconds);
  m_recorded_at = now;
  m_successes = m_successes * factor + (success ? 1 : 0);
  m_failures = m_failures * factor + (success ? 0 : 1);
  if (!success) m_penalty_until = now + kFirstPause;
  if (m_state == State::kHealthy) return;
  if (success) {
    Recover(now);
  } else if (IsEjected() || m_failures >= m_successes) {
    Eject(now);
  }
}

void ExecutorHealth::RetractFailure() {
  m_failures = std::max(0.0, m_failures - 1) / kDecayByOutcome;
  m_successes /= kDecayByOutcome;
}

void ExecutorHealth::Eject(TimePoint now) {
  if (m_state == State::kHealthy && now - m_recovered_at > kEjectionCountResetTime) m_ejections = 0;
  m_probe_at = now + std::min(kLongestPause, kFirstPause * (1 << m_ejections));
  m_ejections = std::min(m_ejections + 1, kMaxDoublings);
  m_state = State::kEjected;
  m_penalty_until.reset();
  m_successes = 0;
  m_failures = 0;
}

void ExecutorHealth::Reinstate(TimePoint now) {
  m_state = State::kHealthy;
  m_successes = 0;
  m_failures = kReinstatedFailures;
  m_penalty_until = now + kFirstPause;
}

void ExecutorHealth::EndPenaltyIfDue(TimePoint now) {
  if (m_penalty_until && now >= *m_penalty_until) m_penalty_until.reset();
}

bool ExecutorHealth::IsFailing() const {
  return IsEjected() || (m_failures >= kFailingCount && m_failures >= m_successes);
}

int ExecutorHealth::SlotLimit(int slots, TimePoint now) const {
  if (m_state == State::kHealthy) return slots;
  if (m_state == State::kRecovering) return std::min(slots, m_recovery_slots);
  return IsProbeDue(now) ? std::min(slots, 1) : 0;
}

void ExecutorHealth::Recover(TimePoint now) {
  if (IsEjected()) {
    m_state = State::kRecovering;
    m_recovery_slots = 1;
    m_recovery_successes = 0;
  }
  if (++m_recovery_successes < m_recovery_slots) return;
  m_recovery_successes = 0;
  m_recovery_slots *= 2;
  if (m_recovery_slots < kFullRecoverySlots) return;
  m_state = State::kHealthy;
  m_recovered_at = now;
}

}  // namespace citronferry::dispatch
