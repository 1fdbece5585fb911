#ifndef CITRONFERRY_DECISIONS_REQUESTS_CLAIM_H_
#define CITRONFERRY_DECISIONS_REQUESTS_CLAIM_H_

#include <optional>
#include <variant>
#include <vector>

#include "base/ret.h"
#include "decisions/requests/types.h"

namespace citronferry::requests {

// Events.

/// A slot of an executor is held, so the request can be sent if it is claimed.
struct SlotHeld {};
/// Outcome of WriteClaim.
struct ClaimWritten {
  ErrorCode code = ErrorCode::kOk;
  uint64_t version = 0;  ///< Meaningful for kOk.
};
/// Outcome of ReadRow.
struct RowRead {
  ErrorCode code = ErrorCode::kOk;
  RecordRow row;  ///< Meaningful for kOk.
};
using ClaimEvent = std::variant<SlotHeld, ClaimWritten, RowRead>;

// Actions.

/// Write the claim to its row.
struct WriteClaim {
  Record record;
  std::optional<uint64_t> expected_version;  ///< Empty: the row must not exist.
};
/// Read the row of the request.
struct ReadRow {};
/// The claim is held: send the request at once.
struct SendRequest {};

/// Why a request is not sent.
enum class RefusalReason {
  kStoreUnavailable,  ///< Not run: the claim could not be made or confirmed.
  kDeadlinePassed,    ///< Not run: the deadline or the lease passed before sending.
  kDuplicate,         ///< Another submission has this key; its row is attached.
  kDuplicateUnread,   ///< Another submission has this key and its row cannot be read.
};
/// Do not send the request.
struct RefuseRequest {
  RefusalReason reason = RefusalReason::kStoreUnavailable;
  RecordRow existing;    ///< Meaningful for kDuplicate.
  bool release = false;  ///< The row may show this claim, so it has to be released as not run.
};
using ClaimAction = std::variant<WriteClaim, ReadRow, SendRequest, RefuseRequest>;

/// Decides whether one submission of a non-idempotent request may be sent to a backend server, so
/// that the request runs at most once.
///
/// The submission writes a claim to the request's row by compare-and-set and is sent only while it
/// holds that claim. A claim that was refused is never used again.
class Claim {
 public:
  /// @param record claim with token, holder, fingerprint and lease.
  /// @param deadline of the request; nothing is sent at or after it.
  Claim(Record record, TimePoint deadline) : m_record(std::move(record)), m_deadline(deadline) {}

  /// @param event what happened.
  /// @param now monotonic time; it must not decrease between calls.
  /// @return one action.
  std::vector<ClaimAction> Handle(const ClaimEvent& event, TimePoint now);

  bool held() const { return m_phase == Phase::kHeld; }
  const Record& record() const { return m_record; }
  /// @return the version of the row, known while the claim is held.
  std::optional<uint64_t> version() const { return m_version; }

 private:
  enum class Phase { kIdle, kWriting, kReading, kHeld, kRefused };

  ClaimAction OnSlotHeld(const ClaimEvent& event, TimePoint now);
  ClaimAction OnClaimWritten(const ClaimEvent& event, TimePoint now);
  ClaimAction OnRowRead(const ClaimEvent& event, TimePoint now);

  ClaimAction Write(std::optional<uint64_t> expected_version, TimePoint now);
  ClaimAction Read();
  ClaimAction SendWhileValid(TimePoint now);
  ClaimAction OnOtherRow(const RecordRow& row, TimePoint now);
  ClaimAction Refuse(RefusalReason reason, bool release);

  Record m_record;
  TimePoint m_deadline;
  Phase m_phase = Phase::kIdle;
  int m_writes = 0;
  bool m_write_uncertain = false;              // A write may have taken effect or still may.
  std::optional<uint64_t> m_expected_version;  // Of the last write.
  TimePoint m_claimed_at{};
  std::optional<uint64_t> m_version;
};

}  // namespace citronferry::requests

#endif  // CITRONFERRY_DECISIONS_REQUESTS_CLAIM_H_
