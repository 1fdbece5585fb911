#include "decisions/requests/record_status.h"

namespace citronferry::requests {
namespace {

// About 1 MB. When the limit is reached all observations are dropped, which only delays the status
// kUnknown.
constexpr size_t kMaxObservations = 10000;

}  // namespace

bool ClaimObserver::HasExpired(std::string_view key, uint64_t version, Duration lease,
                               TimePoint now) {
  const auto known = m_observations.find(key);
  if (known != m_observations.end() && known->second.version == version) {
    return now - known->second.first_seen >= lease;
  }
  if (m_observations.size() >= kMaxObservations) m_observations.clear();
  m_observations[std::string(key)] = {.version = version, .first_seen = now};
  return false;
}

RecordStatus ClassifyRecord(const Record& record, std::string_view fingerprint, bool claim_lost) {
  const bool is_cancellation = record.fingerprint.empty();
  if (!fingerprint.empty() && !is_cancellation && record.fingerprint != fingerprint) {
    return RecordStatus::kMismatch;
  }
  if (record.state == State::kEnded) {
    return record.answer.outcome == Outcome::kNotRun ? RecordStatus::kReusable
                                                     : RecordStatus::kRecorded;
  }
  return claim_lost ? RecordStatus::kUnknown : RecordStatus::kInProgress;
}

}  // namespace citronferry::requests
