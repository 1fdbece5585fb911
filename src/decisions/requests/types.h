#ifndef CITRONFERRY_DECISIONS_REQUESTS_TYPES_H_
#define CITRONFERRY_DECISIONS_REQUESTS_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::requests {

/// How a request or a job has ended.
enum class Outcome {
  kAnswered,   ///< The backend server's answer is recorded.
  kFailed,     ///< Cannot succeed; the reason is recorded.
  kUnknown,    ///< May or may not have run.
  kNotRun,     ///< Not run, which is certain; the key may be used again.
  kCancelled,  ///< Not run, which is certain, and never will be.
};

/// The recorded answer to a request or a job.
struct Answer {
  Outcome outcome = Outcome::kUnknown;
  int status = 0;            ///< HTTP status of the backend server; 0 without an answer.
  std::string content_type;  ///< Type of the body.
  std::string body;          ///< Empty when the body is in the object store.
  std::string object;        ///< Key in the object store, or empty.
  std::string reason;        ///< Why the request or job ended without an answer.

  friend bool operator==(const Answer&, const Answer&) = default;
};

/// The run of an entry's process that holds a claim.
struct Holder {
  EntryId entry;
  std::string incarnation;  ///< Identifies one run of the entry's process.

  friend bool operator==(const Holder&, const Holder&) = default;
};

enum class State { kClaimed, kEnded };

/// Row of the request ledger.
struct Record {
  State state = State::kClaimed;
  std::string token;        ///< Random; identifies the claim that the row shows.
  Holder holder;            ///< Who claimed the request.
  std::string fingerprint;  ///< Digest of queue and body.
  Duration lease{};         ///< Time after which the claimant sends nothing more.
  Answer answer;            ///< Meaningful when ended.
};

/// @param fingerprint of the submission that asks.
/// @return true when the row shows that this request was not run, so that it may be claimed again.
inline bool IsReusable(const Record& record, std::string_view fingerprint) {
  return record.state == State::kEnded && record.answer.outcome == Outcome::kNotRun &&
         record.fingerprint == fingerprint;
}

/// A record as read from the table service.
struct RecordRow {
  Record record;
  uint64_t version = 0;
};

}  // namespace citronferry::requests

#endif  // CITRONFERRY_DECISIONS_REQUESTS_TYPES_H_
