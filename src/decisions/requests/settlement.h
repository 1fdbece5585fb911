#ifndef CITRONFERRY_DECISIONS_REQUESTS_SETTLEMENT_H_
#define CITRONFERRY_DECISIONS_REQUESTS_SETTLEMENT_H_

#include <optional>
#include <variant>
#include <vector>

#include "decisions/requests/claim.h"

namespace citronferry::requests {

// Events: RowRead as in claim.h, and these.

/// Starts the settlement, or continues it after the delay of RetryLater.
struct SettleNow {};
/// Outcome of WriteRecord.
struct RecordWritten {
  ErrorCode code = ErrorCode::kOk;
};
using SettlementEvent = std::variant<SettleNow, RecordWritten, RowRead>;

// Actions: ReadRow as in claim.h, and these.

/// Write the record to the row of the claim.
struct WriteRecord {
  Record record;
  std::optional<uint64_t> expected_version;  ///< Empty: the row must not exist.
};
/// Pass SettleNow again after the delay.
struct RetryLater {
  Duration delay{};
};
/// How a settlement has ended.
enum class SettlementResult {
  kRecorded,    ///< The row shows the record.
  kSuperseded,  ///< The row belongs to another claim.
  kGivenUp,     ///< The time limit was reached; the row may still show the claim.
};
/// The settlement is complete; it takes no more events.
struct EndSettlement {
  SettlementResult result = SettlementResult::kRecorded;
};
using SettlementAction = std::variant<WriteRecord, ReadRow, RetryLater, EndSettlement>;

/// Limits and delays of the retries.
struct SettlementOptions {
  Duration give_up_after = 15min;  ///< Bounds the memory used in a long outage.
  Duration first_retry = 250ms;
  Duration longest_retry = 5s;
};

/// Decides how the end of a claim is recorded in its row: with the outcome of the request, or
/// released as not run. Repeats writes that were lost; never overwrites a row that another claim
/// owns or that has ended.
class Settlement {
 public:
  /// @param record ended record with the token of the claim.
  /// @param version version of the claim row, if known.
  /// @param options limits and delays of the retries.
  Settlement(Record record, std::optional<uint64_t> version, SettlementOptions options = {})
      : m_record(std::move(record)), m_version(version), m_options(options) {}

  /// @param event what happened.
  /// @param now monotonic time; it must not decrease between calls.
  /// @return one action.
  std::vector<SettlementAction> Handle(const SettlementEvent& event, TimePoint now);

 private:
  SettlementAction OnSettleNow(const SettlementEvent& event, TimePoint now);
  SettlementAction OnRecordWritten(const SettlementEvent& event, TimePoint now);
  SettlementAction OnRowRead(const SettlementEvent& event, TimePoint now);
  SettlementAction Retry(TimePoint now);

  Record m_record;
  std::optional<uint64_t> m_version;
  SettlementOptions m_options;
  std::optional<TimePoint> m_started;
  Duration m_delay{};
};

}  // namespace citronferry::requests

#endif  // CITRONFERRY_DECISIONS_REQUESTS_SETTLEMENT_H_
