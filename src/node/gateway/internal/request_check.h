#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_CHECK_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_CHECK_H_

#include <optional>
#include <variant>

#include "document/document.h"
#include "http/message.h"
#include "node/node_context.h"
#include "telemetry/trace.h"

namespace citronferry::node {

/// An authenticated request to the caller API.
struct Call {
  http::Request request;
  std::shared_ptr<const document::Document> document;
  TeamName team;
  std::string target;  ///< Queue name, request key or job identifier from the path.
  TraceContext trace;
};

/// A submission that has passed all checks.
struct Submission {
  document::Queue queue;
  std::string key;
  bool key_is_given = false;  ///< False when this entry generated the key.
  std::string fingerprint;    ///< Digest of queue and body.
  std::string content_type;
  TimePoint deadline;
};

/// A valid submission, or the response that refuses it.
using CheckResult = std::variant<Submission, http::Response>;

/// Whether a submission is run while the caller waits or stored as a durable job.
enum class SubmissionKind { kRequest, kJob };

/// Checks a submission to a queue.
/// @param kind kind of work that the path asks for; it must match the queue.
/// @param now time from which the deadline counts.
/// @return the submission, or the response that refuses it.
CheckResult CheckSubmission(const Call& call, SubmissionKind kind, TimePoint now);

/// @return true when a text is a valid request key: 1 to 128 letters, digits, '-', '_' or '.'.
bool IsValidKey(std::string_view key);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_CHECK_H_
