#include "decisions/dispatch/internal/admission.h"

#include <algorithm>
#include <array>

namespace citronferry::dispatch {
namespace {

constexpr Duration kMinRetryAfter = 1s;
constexpr Duration kMaxRetryAfter = 60s;

Duration ClampRetryAfter(Duration estimate) {
  return std::clamp(estimate, Duration(kMinRetryAfter), Duration(kMaxRetryAfter));
}

}  // namespace

Admission::Admission(const QueueState& queue, const TeamState& team, TimePoint deadline,
                     TimePoint now)
    : m_queue(queue),
      m_team(team),
      m_time_left(deadline - now),
      m_run_time(queue.run_times.Optimistic(now)) {}

std::optional<Refusal> Admission::Check() const {
  static constexpr std::array<CheckFunction, 3> kChecks{
      &Admission::CheckDeadline, &Admission::CheckEstimate, &Admission::CheckQueueLength};
  for (const CheckFunction check : kChecks) {
    if (auto refusal = (this->*check)()) return refusal;
  }
  return std::nullopt;
}

std::optional<Refusal> Admission::CheckDeadline() const {
  if (m_time_left > Duration::zero()) return std::nullopt;
  return Refusal{.reason = "the deadline has passed"};
}

std::optional<Refusal> Admission::CheckEstimate() const {
  const Duration wait = OptimisticWait();
  if (wait > m_queue.policy.wait_limit) {
    return Refusal{.reason = "the wait would exceed the queue's limit",
                   .retry_after = ClampRetryAfter(wait - m_queue.policy.wait_limit)};
  }
  if (wait + m_run_time > m_time_left) {
    return Refusal{.reason = "the deadline can not be met",
                   .retry_after = ClampRetryAfter(wait + m_run_time - m_time_left)};
  }
  return std::nullopt;
}

std::optional<Refusal> Admission::CheckQueueLength() const {
  if (m_queue.waiting < m_queue.policy.max_queued) return std::nullopt;
  return Refusal{.reason = "the queue is full", .retry_after = EstimateDrain(m_queue)};
}

Duration Admission::OptimisticWait() const {
  const PoolState& pool = *m_queue.pool;
  const int slots = pool.executors.capacity();
  // Without executors the wait is unknown, because executors may be about to join.
  const bool urgent = m_queue.policy.priority == Priority::kUrgent;
  if (slots == 0 || pool.executors.HasFree(urgent)) return {};
  double work = pool.classes[IndexOf(m_queue.policy.priority)].WorkAhead(m_team.index);
  if (!urgent) work += pool.classes[IndexOf(Priority::kUrgent)].work();
  // The last requests ahead run in parallel with this one, so one run time is subtracted.
  return std::max(Duration::zero(), FromSeconds(work / slots) - m_run_time);
}

Duration EstimateDrain(const QueueState& queue) {
  const PoolState& pool = *queue.pool;
  const double run_time = ToSeconds(queue.run_times.Typical(queue.policy.declared_run_time));
  const int slots = std::max(1, pool.executors.capacity());
  return ClampRetryAfter(FromSeconds(run_time * static_cast<double>(queue.waiting) / slots));
}

bool CannotMeetDeadline(const RequestRecord& record, TimePoint now) {
  return now + record.queue->run_times.Optimistic(now) > record.deadline;
}

}  // namespace citronferry::dispatch
