#include "decisions/scheduling/executor_session.h"

namespace citronferry::scheduling {

HoldTerms ExecutorSession::MakeHold(const ExecutorState& executor, int64_t newest_version,
                                    TimePoint now) {
  const Scope scope = ScopeOf(executor);
  if (!m_scope) m_scope = scope;
  // Starts without a response ask for one token after the other when responses are late. Each token
  // is therefore used for a lease and acknowledgements before the next one begins.
  const bool required = m_scope->incarnation_unix_ms != scope.incarnation_unix_ms ||
                        m_scope->fences < executor.required_fences;
  // Versions increase with each commit, and the epoch of the next owner is higher.
  if (*m_scope != scope && newest_version > m_token && (required || m_token_used)) {
    m_token = newest_version;
    m_scope = scope;
    m_token_used = false;
  }
  HoldTerms terms{.fencing_token = m_token,
                  .unanswered_calls = m_unanswered_calls,
                  .fences = m_scope->fences,
                  .incarnation_unix_ms = scope.incarnation_unix_ms};
  const bool answers = executor.responding && m_unanswered_before_report == m_unanswered_calls;
  if (!answers || !IsEstablished(executor)) return terms;
  terms.acknowledged_end = executor.durable_end;
  terms.lease_until_ms = LeaseFrom(now);
  m_token_used = true;
  return terms;
}

bool ExecutorSession::AwaitsCommit(const ExecutorState& executor, int64_t newest_version) const {
  return m_scope && *m_scope != ScopeOf(executor) && newest_version <= m_token;
}

std::optional<StartTerms> ExecutorSession::MakeStart(const ExecutorState& executor,
                                                     TimePoint now) const {
  if (!executor.responding || !IsEstablished(executor)) return std::nullopt;
  return StartTerms{.fencing_token = m_token,
                    .lease_until_ms = LeaseFrom(now),
                    .incarnation_unix_ms = executor.info.incarnation_unix_ms};
}

void ExecutorSession::OnReport(const HoldTerms& terms, const ExecutorReport& report,
                               TimePoint now) {
  m_answered_token = terms.fencing_token;
  m_reported_incarnation = report.incarnation_unix_ms;
  m_clock_ms = report.clock_ms;
  m_clock_read_at = now;
  m_unanswered_before_report = terms.unanswered_calls;
}

bool ExecutorSession::IsEstablished(const ExecutorState& executor) const {
  const int64_t incarnation = executor.info.incarnation_unix_ms;
  return m_answered_token == m_token && m_scope && m_scope->incarnation_unix_ms == incarnation &&
         m_scope->fences >= executor.required_fences && m_reported_incarnation == incarnation;
}

int64_t ExecutorSession::LeaseFrom(TimePoint now) const {
  // The executor read its clock before the value arrived, so the estimate is never ahead of the
  // clock.
  return m_clock_ms + ToMilliseconds(now - m_clock_read_at) + ToMilliseconds(m_lease);
}

}  // namespace citronferry::scheduling
