#include "decisions/requests/settlement.h"

#include <algorithm>
#include <array>

namespace citronferry::requests {

std::vector<SettlementAction> Settlement::Handle(const SettlementEvent& event, TimePoint now) {
  using Handler = SettlementAction (Settlement::*)(const SettlementEvent&, TimePoint);
  // In the order of the alternatives of SettlementEvent.
  static constexpr std::array<Handler, std::variant_size_v<SettlementEvent>> kHandlers{
      &Settlement::OnSettleNow, &Settlement::OnRecordWritten, &Settlement::OnRowRead};
  if (!m_started) m_started = now;
  std::vector<SettlementAction> actions;
  actions.push_back((this->*kHandlers[event.index()])(event, now));
  return actions;
}

SettlementAction Settlement::OnSettleNow(const SettlementEvent&, TimePoint) {
  if (!m_version) return ReadRow{};
  return WriteRecord{.record = m_record, .expected_version = *m_version};
}

SettlementAction Settlement::OnRecordWritten(const SettlementEvent& event, TimePoint now) {
  const ErrorCode code = std::get<RecordWritten>(event).code;
  if (code == ErrorCode::kOk) return EndSettlement{SettlementResult::kRecorded};
  if (code == ErrorCode::kUnavailable) return Retry(now);
  return ReadRow{};
}

SettlementAction Settlement::OnRowRead(const SettlementEvent& event, TimePoint now) {
  const auto& read = std::get<RowRead>(event);
  if (read.code == ErrorCode::kNotFound) {
    if (m_version) return EndSettlement{SettlementResult::kSuperseded};
    // The claim's write may still be in transit. A row in its place makes it fail, however late it
    // arrives.
    return WriteRecord{.record = m_record};
  }
  if (read.code != ErrorCode::kOk) return Retry(now);
  if (read.row.record.token != m_record.token) {
    // Likewise, a claim that replaces a released row may still be in transit.
    if (!m_version && IsReusable(read.row.record, m_record.fingerprint)) {
      return WriteRecord{.record = m_record, .expected_version = read.row.version};
    }
    return EndSettlement{SettlementResult::kSuperseded};
  }
  if (read.row.record.state == State::kEnded) return EndSettlement{SettlementResult::kRecorded};
  const bool unchanged = m_version == read.row.version;
  m_version = read.row.version;
  // A write that fails although the version is right must not be repeated without a delay.
  if (unchanged) return Retry(now);
  return WriteRecord{.record = m_record, .expected_version = *m_version};
}

SettlementAction Settlement::Retry(TimePoint now) {
  if (now - *m_started >= m_options.give_up_after) {
    return EndSettlement{SettlementResult::kGivenUp};
  }
  m_delay = m_delay == Duration::zero() ? m_options.first_retry
                                        : std::min(2 * m_delay, m_options.longest_retry);
  return RetryLater{m_delay};
}

}  // namespace citronferry::requests
