#ifndef CITRONFERRY_DECISIONS_JOBS_TYPES_H_
#define CITRONFERRY_DECISIONS_JOBS_TYPES_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "decisions/requests/types.h"

namespace citronferry::jobs {

enum class State { kAccepted, kClaimed, kEnded };

/// A durable job as its row stores it.
struct Job {
  State state = State::kAccepted;
  TeamName team;
  QueueName queue;
  std::string fingerprint;   ///< Digest of queue and body.
  std::string content_type;  ///< Type of the body.
  std::string body;          ///< Empty when the body is in the object store.
  std::string object;        ///< Key in the object store, or empty.
  int attempts = 0;          ///< Claims that may have led to a run.
  std::string write_id;      ///< Random for each write; identifies the write that the row shows.
  requests::Holder holder;   ///< Meaningful when claimed.
  requests::Answer answer;   ///< Meaningful when ended.
};

/// A row of the jobs table.
struct JobRow {
  JobId id;
  Job job;
  uint64_t version = 0;  ///< Grows with each write of the row.
  bool deleted = false;
};

}  // namespace citronferry::jobs

#endif  // CITRONFERRY_DECISIONS_JOBS_TYPES_H_
