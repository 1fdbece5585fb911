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
  kFailed,     ///< Can not succeed; the reason is recorded.
  kUnknown,    ///< May or may not have run.
  kNotRun,     ///< Certainly not run; the key may be used again.
  kCancelled,  ///< Certainly not run and never will be.
};

/// The recorded answer to a request or a job.
struct Answer {
  Outcome outcome = Outcome::kUnknown;
  int status = 0;            ///< Status of the backend server; 0 without one.
  std::string content_type;  ///< Type of the body.
  std::string body;          ///< Empty when the body is in the object store.
  std::string object;        ///< Key in the object store, or empty.
  std::string reason;

  friend bool operator==(const Answer&, const Answer&) = default;
};

/// One start of one entry.
struct Holder {
  EntryId entry;
  std::string incarnation;

  friend bool operator==(const Holder&, const Holder&) = default;
};

enum class State { kClaimed, kEnded };

/// Row of the request ledger.
struct Record {
  State state = State::kClaimed;
  std::string token;        ///< Random; tells whose write the row shows.
  Holder holder;            ///< Who claimed the request.
  std::string fingerprint;  ///< Digest of queue and body.
  Duration lease{};         ///< After this the claimant starts nothing more.
  Answer answer;            ///< Meaningful when ended.
};

/// @return true when the row says that this request was not run, so that it may be claimed again.
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
