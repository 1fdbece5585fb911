#include "decisions/requests/claim.h"

#include <array>

namespace citronferry::requests {
namespace {

// Each round takes up to two calls of 1 s, during which the executor's slot is held.
constexpr int kMaxWrites = 2;

bool IsCertainlyNotWritten(ErrorCode code) {
  return code == ErrorCode::kUnavailable || code == ErrorCode::kUnauthenticated ||
         code == ErrorCode::kPermissionDenied || code == ErrorCode::kInvalidArgument;
}

}  // namespace

std::vector<ClaimAction> Claim::Handle(const ClaimEvent& event, TimePoint now) {
  using Handler = ClaimAction (Claim::*)(const ClaimEvent&, TimePoint);
  // In the order of the alternatives of ClaimEvent.
  static constexpr std::array<Handler, std::variant_size_v<ClaimEvent>> kHandlers{
      &Claim::OnSlotHeld, &Claim::OnClaimWritten, &Claim::OnRowRead};
  std::vector<ClaimAction> actions;
  actions.push_back((this->*kHandlers[event.index()])(event, now));
  return actions;
}

ClaimAction Claim::OnSlotHeld(const ClaimEvent&, TimePoint now) {
  if (m_phase == Phase::kHeld) return SendWhileValid(now);
  if (m_phase != Phase::kIdle) return Refuse(RefusalReason::kStoreUnavailable, false);
  if (now >= m_deadline) return Refuse(RefusalReason::kDeadlinePassed, false);
  return Write(std::nullopt, now);
}

ClaimAction Claim::OnClaimWritten(const ClaimEvent& event, TimePoint now) {
  const auto& written = std::get<ClaimWritten>(event);
  if (m_phase != Phase::kWriting)
    return Refuse(RefusalReason::kStoreUnavailable, m_write_uncertain);
  if (written.code == ErrorCode::kOk) {
    m_version = written.version;
    return SendWhileValid(now);
  }
  if (IsCertainlyNotWritten(written.code)) {
    return Refuse(RefusalReason::kStoreUnavailable, m_write_uncertain);
  }
  if (written.code != ErrorCode::kConflict && written.code != ErrorCode::kNotFound) {
    m_write_uncertain = true;
  }
  return Read();
}

ClaimAction Claim::OnRowRead(const ClaimEvent& event, TimePoint now) {
  const auto& read = std::get<RowRead>(event);
  if (m_phase != Phase::kReading)
    return Refuse(RefusalReason::kStoreUnavailable, m_write_uncertain);
  if (read.code == ErrorCode::kOk) {
    if (read.row.record.token != m_record.token) return OnOtherRow(read.row, now);
    m_version = read.row.version;
    if (read.row.record.state == State::kClaimed) return SendWhileValid(now);
    return Refuse(RefusalReason::kStoreUnavailable, false);
  }
  if (read.code == ErrorCode::kNotFound) {
    if (m_writes < kMaxWrites) return Write(std::nullopt, now);
    return Refuse(RefusalReason::kStoreUnavailable, m_write_uncertain);
  }
  if (m_write_uncertain) return Refuse(RefusalReason::kStoreUnavailable, true);
  return Refuse(RefusalReason::kDuplicateUnread, false);
}

ClaimAction Claim::OnOtherRow(const RecordRow& row, TimePoint now) {
  // An earlier write without an answer can still take effect only while the row has the version
  // that it expects.
  m_write_uncertain = m_write_uncertain && m_expected_version == row.version;
  if (IsReusable(row.record, m_record.fingerprint) && m_writes < kMaxWrites) {
    return Write(row.version, now);
  }
  if (m_write_uncertain) return Refuse(RefusalReason::kStoreUnavailable, true);
  m_phase = Phase::kRefused;
  return RefuseRequest{.reason = RefusalReason::kDuplicate, .existing = row};
}

ClaimAction Claim::Write(std::optional<uint64_t> expected_version, TimePoint now) {
  m_phase = Phase::kWriting;
  // The lease counts from the first write, which may be the one that took effect.
  if (m_writes++ == 0) m_claimed_at = now;
  m_expected_version = expected_version;
  return WriteClaim{.record = m_record, .expected_version = expected_version};
}

ClaimAction Claim::Read() {
  m_phase = Phase::kReading;
  return ReadRow{};
}

ClaimAction Claim::SendWhileValid(TimePoint now) {
  if (now >= m_deadline || now >= m_claimed_at + m_record.lease) {
    return Refuse(RefusalReason::kDeadlinePassed, true);
  }
  m_phase = Phase::kHeld;
  return SendRequest{};
}

ClaimAction Claim::Refuse(RefusalReason reason, bool release) {
  m_phase = Phase::kRefused;
  return RefuseRequest{.reason = reason, .release = release};
}

}  // namespace citronferry::requests
