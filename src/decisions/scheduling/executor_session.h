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
  int64_t unanswered_calls = 0;           ///< Holds before this one; for ExecutorSession::OnReport.
  /// ExecutorState::fences when the token was begun. An executor that answers the hold rejects all
  /// calls that were made before.
  int64_t fences = 0;
  int64_t incarnation_unix_ms = 0;  ///< That the terms are meant for.

  /// @return whether the executor is the incarnation that the owner knows.
  bool established() const { return lease_until_ms.has_value(); }
};

/// What a start tells an executor, besides the run.
struct StartTerms {
  int64_t fencing_token = 0;
  int64_t lease_until_ms = 0;       ///< On the executor's clock.
  int64_t incarnation_unix_ms = 0;  ///< That the start is meant for.
};

/// Decides what an owner may tell an executor, and with which fencing token.
///
/// A call without a response may be carried out later, when what it relied on has changed: the
/// lease under which its run was given up has expired, or the executor has restarted under its id,
/// with another clock and with ends that are numbered anew. The owner then begins a new token. Once
/// the executor has answered a call with it, it rejects all earlier calls, however late they
/// arrive. Before that, the owner acknowledges no end, extends no lease and orders no start. The
/// terms name the incarnation that they are meant for, and whoever makes the call sends them to no
/// other one, so starts and stops without a response do not keep the lease from being extended.
class ExecutorSession {
 public:
  /// @param newest_version of the owner's commits, its epoch before the first one; the token for
  /// the
  ///   first incarnation that the session meets.
  /// @param lease duration of a lease.
  ExecutorSession(int64_t newest_version, Duration lease)
      : m_token(newest_version), m_lease(lease) {}

  /// Makes the terms of a hold that is sent now, with a new token if earlier calls have to be
  /// rejected.
  /// @param executor as the owner knows it.
  /// @param newest_version of the owner's commits; the new token, if one is needed.
  /// @param now time at which the hold is sent.
  /// @return the terms; they depend on the incarnation only if it is established.
  HoldTerms MakeHold(const ExecutorState& executor, int64_t newest_version, TimePoint now);
  /// @param executor as the owner knows it.
  /// @param now time at which the start is sent.
  /// @return the terms of the start; nothing if it must not be sent.
  std::optional<StartTerms> MakeStart(const ExecutorState& executor, TimePoint now) const;
  /// @return whether a new token is needed, for which the owner has to commit again.
  bool AwaitsCommit(const ExecutorState& executor, int64_t newest_version) const;
  /// @return the token for stops and paces.
  int64_t fencing_token() const { return m_token; }

  /// Records that a hold had no response: the executor may have restarted since its last report.
  void OnUnanswered() { ++m_unanswered_calls; }
  /// @param terms of the hold that returned the report.
  /// @param now time at which the report arrived.
  void OnReport(const HoldTerms& terms, const ExecutorReport& report, TimePoint now);

 private:
  /// What a token was begun for: calls that were made for an earlier one have a lower token.
  struct Scope {
    int64_t incarnation_unix_ms = 0;
    int64_t fences = 0;

    friend bool operator==(const Scope&, const Scope&) = default;
  };

  static Scope ScopeOf(const ExecutorState& executor) {
    return {.incarnation_unix_ms = executor.info.incarnation_unix_ms, .fences = executor.fences};
  }
  /// @return whether the executor has answered a call with the token that it needs now.
  bool IsEstablished(const ExecutorState& executor) const;
  /// @return the end of a lease that begins now, on the executor's clock.
  int64_t LeaseFrom(TimePoint now) const;

  int64_t m_token;
  Duration m_lease;
  bool m_token_used = false;                // A hold with terms was sent with the token.
  std::optional<Scope> m_scope;             // Of the token, once a call was made with it.
  std::optional<int64_t> m_answered_token;  // Of the last hold that returned a report.
  int64_t m_reported_incarnation = 0;       // Start time according to that report.
  int64_t m_clock_ms = 0;                   // The executor's clock according to that report.
  TimePoint m_clock_read_at{};
  int64_t m_unanswered_calls = 0;  // Holds without a response.
  int64_t m_unanswered_before_report = 0;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_EXECUTOR_SESSION_H_
