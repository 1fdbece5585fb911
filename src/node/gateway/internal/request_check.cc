#include "node/gateway/internal/request_check.h"

#include <algorithm>
#include <charconv>

#include "node/gateway/internal/responses.h"

namespace citronferry::node {
namespace {

constexpr size_t kMaxKeyLength = 128;
constexpr Duration kMaxDeadline = 24h * 28;

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<http::Response> CheckKind(const document::Queue& queue, SubmissionKind kind) {
  const std::string path = "/v1/queues/" + queue.name.str();
  if (queue.durable && kind == SubmissionKind::kRequest) {
    return NotRunResponse(409, "durable_queue",
                          "work of this queue is a durable job: POST " + path + "/jobs");
  }
  if (!queue.durable && kind == SubmissionKind::kJob) {
    return NotRunResponse(409, "queue_not_durable",
                          "this queue takes no jobs: POST " + path + "/requests");
  }
  return std::nullopt;
}

std::optional<http::Response> CheckDeadline(std::string_view text, SubmissionKind kind,
                                            Duration& time_left) {
  if (text.empty()) return std::nullopt;
  if (kind == SubmissionKind::kJob) {
    return NotRunResponse(400, "invalid_deadline",
                          "jobs have no deadline; omit Citronferry-Deadline-Ms");
  }
  const auto milliseconds = ParseInteger(text);
  if (!milliseconds || *milliseconds > ToMilliseconds(kMaxDeadline)) {
    return NotRunResponse(400, "invalid_deadline",
                          "Citronferry-Deadline-Ms must be an integer of at most 28 days");
  }
  if (*milliseconds <= 0) return NotRunResponse(408, "deadline_passed", "the deadline has passed");
  // Slot loans rely on the queue's deadline as the longest time that a request holds a slot, so a
  // caller can only shorten it.
  time_left = std::min<Duration>(time_left, std::chrono::milliseconds(*milliseconds));
  return std::nullopt;
}

}  // namespace

bool IsValidKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

CheckResult CheckSubmission(const Call& call, SubmissionKind kind, TimePoint now) {
  const http::Headers& headers = call.request.headers;
  const auto& queues = call.document->queues;
  const auto queue = std::find_if(queues.begin(), queues.end(),
                                  [&](const auto& q) { return q.name.view() == call.target; });
  if (queue == queues.end()) {
    return NotRunResponse(404, "unknown_queue", "no queue with this name is declared");
  }
  if (auto refusal = CheckKind(*queue, kind)) return *refusal;
  const std::string_view key = http::FindHeader(headers, "Idempotency-Key");
  if (!key.empty() && !IsValidKey(key)) {
    return NotRunResponse(400, "invalid_key",
                          "Idempotency-Key must have at most 128 letters, digits, '-', '_' or '.'");
  }
  Duration time_left = queue->deadline;
  const std::string_view deadline = http::FindHeader(headers, "Citronferry-Deadline-Ms");
  if (auto refusal = CheckDeadline(deadline, kind, time_left)) return *refusal;

  Submission submission{.queue = *queue, .deadline = now + time_left};
  submission.key_is_given = !key.empty();
  submission.key = submission.key_is_given ? std::string(key) : RandomToken() + RandomToken();
  submission.fingerprint = Sha256Hex(queue->name.str() + '\n' + call.request.body.toStdString());
  submission.content_type = http::FindHeader(headers, "Content-Type");
  if (submission.content_type.empty()) submission.content_type = "application/octet-stream";
  return submission;
}

}  // namespace citronferry::node
