#ifndef CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_SESSION_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_SESSION_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "decisions/scheduling/executor_state.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// What a hold tells an executor.
struct HoldTerms {
  int64_t fencing_token = 0;
  int64_t acknowledged_end = 0;           ///< Number of the last end that the executor may forget.
  std::optional<int64_t> lease_until_ms;  ///< On the executor's clock; nothing: not extended.
  int64_t unanswered_calls = 0;           ///< Before the hold; for ExecutorSession::OnReport.

  /// @return whether the executor is the incarnation that the owner knows.
  bool established() const { return lease_until_ms.has_value(); }
};

/// What a start tells an executor, besides the run.
struct StartTerms {
  int64_t fencing_token = 0;
  int64_t lease_until_ms = 0;  ///< On the executor's clock.
};

/// Decides what an owner may tell an executor, which can restart under its id. A call names the id
/// only, and the next incarnation has another clock, numbers its ends anew and knows no fencing
/// token. Each incarnation is therefore given a token of its own. Once it has answered a call with
/// that token, it rejects calls that were meant for its predecessor, however late they arrive.
/// Before that, the owner acknowledges no end, extends no lease and orders no start, but calls to
/// the predecessor may still take effect.
class ExecutorSession {
 public:
  /// @param newest_version of the owner's commits, its epoch before the first one; the token for
  /// the
  ///   first incarnation that the session meets.
  /// @param lease duration of a lease.
  ExecutorSession(int64_t newest_version, Duration lease)
      : m_token(newest_version), m_lease(lease) {}

  /// Makes the terms of a hold that is sent now, with a new token if the owner has learned of a new
  /// incarnation.
  /// @param executor as the owner knows it.
  /// @param newest_version of the owner's commits; the token for a new incarnation.
  /// @param now time at which the hold is sent.
  /// @return the terms; they depend on the incarnation only if it is established.
  HoldTerms MakeHold(const ExecutorState& executor, int64_t newest_version, TimePoint now);
  /// @param executor as the owner knows it.
  /// @param now time at which the start is sent.
  /// @return the terms of the start; nothing if it must not be sent.
  std::optional<StartTerms> MakeStart(const ExecutorState& executor, TimePoint now) const;
  /// @return whether an incarnation waits for a token until the owner has committed again.
  bool AwaitsCommit(const ExecutorState& executor, int64_t newest_version) const;
  /// @return the token for stops and paces.
  int64_t fencing_token() const { return m_token; }

  /// Records that a call had no response: the executor may have restarted since its last report.
  void OnUnanswered() { ++m_unanswered_calls; }
  /// @param terms of the hold that returned the report.
  /// @param now time at which the report arrived.
  void OnReport(const HoldTerms& terms, const ExecutorReport& report, TimePoint now);

 private:
  /// @return whether the incarnation that the owner knows has answered a call with its token.
  bool IsEstablished(const ExecutorState& executor) const;
  /// @return the end of a lease that begins now, on the executor's clock.
  int64_t LeaseFrom(TimePoint now) const;

  int64_t m_token;
  Duration m_lease;
  std::optional<int64_t> m_token_incarnation;  // Start time of the incarnation with this token.
  std::optional<int64_t> m_answered_token;     // Of the last hold that returned a report.
  int64_t m_reported_incarnation = 0;          // Start time according to that report.
  int64_t m_clock_ms = 0;                      // The executor's clock according to that report.
  TimePoint m_clock_read_at{};
  int64_t m_unanswered_calls = 0;
  int64_t m_unanswered_before_report = 0;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_SESSION_H_
