#ifndef CITRONFERRY_DECISIONS_REQUESTS_RECORD_STATUS_H_
#define CITRONFERRY_DECISIONS_REQUESTS_RECORD_STATUS_H_

#include <map>
#include <string>
#include <string_view>

#include "decisions/requests/types.h"

namespace citronferry::requests {

/// What a row of the ledger says about a request with its key.
enum class RecordStatus {
  kRecorded,    ///< Ended; the answer is in the record.
  kInProgress,  ///< Its claimant may be running it now.
  kUnknown,     ///< Its claimant is gone or the lease has lapsed without an outcome.
  kReusable,    ///< Certainly not run; the key may be used again.
  kMismatch,    ///< The key belongs to a request with another body or queue.
};

/// Tells how long claims have been seen unchanged, by this process's own clock, since entries share
/// no clock.
class ClaimObserver {
 public:
  /// @return true when the version of the row was first seen at least one lease ago.
  bool HasExpired(std::string_view key, uint64_t version, Duration lease, TimePoint now);

 private:
  struct Observation {
    uint64_t version = 0;
    TimePoint first_seen;
  };
  std::map<std::string, Observation, std::less<>> m_observations;
};

/// @param fingerprint of the submission that asks; empty when only the key is known.
/// @param claim_lost the claimant is gone or its lease has lapsed.
RecordStatus ClassifyRecord(const Record& record, std::string_view fingerprint, bool claim_lost);

}  // namespace citronferry::requests

#endif  // CITRONFERRY_DECISIONS_REQUESTS_RECORD_STATUS_H_
