#ifndef CITRONFERRY_DECISIONS_REQUESTS_RECORD_STATUS_H_
#define CITRONFERRY_DECISIONS_REQUESTS_RECORD_STATUS_H_

#include <map>
#include <string>
#include <string_view>

#include "decisions/requests/types.h"

namespace citronferry::requests {

/// Status of a request according to the ledger row with its key.
enum class RecordStatus {
  kRecorded,    ///< Ended; the answer is in the record.
  kInProgress,  ///< Its claimant may be running it now.
  kUnknown,     ///< Its claimant is gone or the lease has expired without an outcome.
  kReusable,    ///< Not run, which is certain; the key may be used again.
  kMismatch,    ///< The key belongs to a request with another body or queue.
};

/// Decides by this process's own clock whether the leases of claims have expired, because entries
/// share no clock.
class ClaimObserver {
 public:
  /// @param key of the row.
  /// @param version of the row as read now.
  /// @param lease duration of the claim's lease.
  /// @param now monotonic time.
  /// @return true when this process first saw the version of the row at least one lease ago.
  bool HasExpired(std::string_view key, uint64_t version, Duration lease, TimePoint now);

 private:
  struct Observation {
    uint64_t version = 0;
    TimePoint first_seen;
  };
  std::map<std::string, Observation, std::less<>> m_observations;
};

/// @param record content of the ledger row.
/// @param fingerprint of the submission that asks; empty when only the key is known.
/// @param claim_lost the claimant is gone or its lease has expired.
RecordStatus ClassifyRecord(const Record& record, std::string_view fingerprint, bool claim_lost);

}  // namespace citronferry::requests

#endif  // CITRONFERRY_DECISIONS_REQUESTS_RECORD_STATUS_H_
