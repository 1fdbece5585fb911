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
struct RecordWritten {
  ErrorCode code = ErrorCode::kOk;
};
using SettlementEvent = std::variant<SettleNow, RecordWritten, RowRead>;

// Actions: ReadRow as in claim.h, and these.

struct WriteRecord {
  Record record;
  std::optional<uint64_t> expected_version;  ///< Without one the row must not exist.
};
struct RetryLater {
  Duration delay{};
};
enum class SettlementResult {
  kRecorded,    ///< The row shows the record.
  kSuperseded,  ///< The row belongs to another claim.
  kGivenUp,     ///< The bound was reached; the row may still show the claim.
};
struct EndSettlement {
  SettlementResult result = SettlementResult::kRecorded;
};
using SettlementAction = std::variant<WriteRecord, ReadRow, RetryLater, EndSettlement>;

struct SettlementOptions {
  Duration give_up_after = 15min;  ///< Bounds the memory that a long outage takes.
  Duration first_retry = 250ms;
  Duration longest_retry = 5s;
};

/// Decides how the end of a claim is written to its row: the outcome, or its release as not run.
/// Repeats lost writes; never overwrites a row that another claim owns or that has ended.
class Settlement {
 public:
  /// @param record ended record with the token of the claim.
  /// @param version version of the claim row, if known.
  Settlement(Record record, std::optional<uint64_t> version, SettlementOptions options = {})
      : m_record(std::move(record)), m_version(version), m_options(options) {}

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
