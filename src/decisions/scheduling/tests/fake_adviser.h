#ifndef CITRONFERRY_DECISIONS_SCHEDULING_TESTS_FAKE_ADVISER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_TESTS_FAKE_ADVISER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {

/// Simulated placement adviser of a pool, which handles one call at a time.
class FakeAdviser {
 public:
  static constexpr Duration kDelay = 20ms;
  static constexpr Duration kDelayPerExecutor = 2ms;
  static constexpr size_t kMaxExecutors = 100;

  /// @param allows whether the policy of the queue allows an executor to run its steps.
  FakeAdviser(FakePool& pool, std::function<bool(const ExecutorId&)> allows)
      : m_pool(pool), m_allows(std::move(allows)) {
    const QueuePolicy queue{.name = QueueName("queue"),
                            .pool = PoolName("pool"),
                            .max_attempts = 3,
                            .latency_multiplier = 1.6,
                            .target_latency = 600ms,
                            .advice_delay = kDelay,
                            .advice_per_executor = kDelayPerExecutor,
                            .needs_advice = true};
    m_pool.scheduler().SetQueues(std::span(&queue, 1));
  }

  /// Runs the pool and the adviser.
  void Run(Duration duration) {
    for (const TimePoint end = m_pool.now() + duration; m_pool.now() < end;) Step();
  }
  /// Runs until a job has started all tasks of its first step.
  /// @return whether it did within the bound.
  bool RunUntilStarted(const JobId& job, int tasks, Duration bound) {
    for (const TimePoint end = m_pool.now() + bound; m_pool.now() < end;) {
      Step();
      const auto started = std::count_if(m_pool.starts.begin(), m_pool.starts.end(),
                                         [&](const auto& entry) { return entry.first.job == job; });
      if (started >= tasks) return true;
    }
    return false;
  }

  Duration validity = 3s;
  bool fails = false;               ///< Calls have no usable response.
  int calls = 0;                    ///< All calls, with or without a response.
  size_t most_candidates = 0;       ///< Of a call.
  std::map<ExecutorId, int> asked;  ///< How often an executor was named.

 private:
  void Step() {
    m_pool.Step();
    if (m_call && m_pool.now() >= m_answer_at) Answer();
    if (m_call) return;
    m_call = m_pool.scheduler().NextTicketRequest(m_pool.now());
    if (!m_call) return;
    ++calls;
    const size_t size = m_call->candidates.size();
    most_candidates = std::max(most_candidates, size);
    for (const AdviceCandidate& candidate : m_call->candidates) ++asked[candidate.executor];
    m_asked_at = m_pool.now();
    m_answer_at = m_asked_at + kDelay + kDelayPerExecutor * static_cast<int64_t>(size);
  }

  void Answer() {
    const TicketRequest call = *std::exchange(m_call, std::nullopt);
    if (fails) {
      m_pool.scheduler().OnAdviceFailed(call, m_pool.now());
      return;
    }
    std::map<ExecutorId, std::string> tickets;
    for (const AdviceCandidate& candidate : call.candidates) {
      if (m_allows(candidate.executor)) tickets[candidate.executor] = "ticket";
    }
    m_pool.scheduler().SetTickets(call, tickets, m_asked_at + validity, m_pool.now());
  }

  FakePool& m_pool;
  std::function<bool(const ExecutorId&)> m_allows;
  std::optional<TicketRequest> m_call;
  TimePoint m_asked_at{};
  TimePoint m_answer_at{};
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TESTS_FAKE_ADVISER_H_
