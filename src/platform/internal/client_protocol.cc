#include "platform/internal/client_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

#include "json/reader.h"
#include "supervision/time_of_day.h"

namespace citronferry::platform {
namespace {

using fleet::CallAction;
using fleet::CallError;
using fleet::CallHead;
using fleet::CallOutcome;
using scheduling::JobDefinition;
using scheduling::StepSpec;
namespace bj = boost::json;

constexpr size_t kJobIdLength = 16;
constexpr size_t kMaxPayloadBytes = 4000;
constexpr Duration kDefaultDeadline = 3s;  // For calls without X-Request-Deadline.
constexpr Duration kMaxDeadline = 1h;
// Keys have some twenty characters.
constexpr size_t kMaxApiKeyLength = 256;
constexpr std::string_view kApiKeyScheme = "Token ";

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

std::string_view HostWithoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

// Returns the API key of a call, or why there is none.
std::variant<std::string, CallError> DecodeApiKey(const http::Headers& headers) {
  const size_t count = http::CountHeader(headers, "Authorization");
  if (count == 0) return CallError{CallError::Kind::kUnknownKey, "the call has no API key"};
  if (count > 1) return CallError{CallError::Kind::kMalformed, "several Authorization headers"};
  const std::string_view text = http::FindHeader(headers, "Authorization");
  if (!text.starts_with(kApiKeyScheme)) {
    return CallError{CallError::Kind::kUnknownKey, "the scheme of the API key is not Token"};
  }
  const std::string_view key = text.substr(kApiKeyScheme.size());
  const bool valid =
      !key.empty() && key.size() <= kMaxApiKeyLength &&
      std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (!valid) return CallError{CallError::Kind::kMalformed, "the API key is malformed"};
  return std::string(key);
}

RetVal<StepSpec> DecodeStep(const bj::value& value) {
  json::ObjectReader reader(value);
  StepSpec step;
  // Absent members default to 0, false or empty.
  step.replicas = reader.Count("replicas");
  step.request = {.cpu_millicores = reader.Count("cpu"),
                  .memory_mb = reader.Count("memMb"),
                  .gpus = reader.Count("gpus")};
  step.estimated_duration = reader.Interval("estimateMs");
  step.image = reader.Text("image");
  step.required_label = reader.Text("requires");
  step.data_rack = RackName(reader.Text("affinity"));
  step.max_per_executor = reader.Count("antiAffinity");
  step.max_unavailable = reader.Count("maxUnavailable");
  step.tail_target = reader.Interval("targetMs");
  step.gang_scheduled = reader.Boolean("gang");
  step.same_rack = reader.Boolean("sameRack");
  step.checkpoints = reader.Boolean("checkpointing");
  step.copies_allowed = reader.Boolean("allowDuplicates");
  step.long_running = reader.Boolean("daemon");
  // A flag despite its name, accepted as a boolean or a number: the CPU request of these tasks is
  // not counted against the capacity.
  if (const bj::value* fills = reader.Find("fillCount")) {
    step.uses_leftover_cpu =
        fills->is_bool() ? fills->get_bool() : json::AsInteger(*fills).value_or(0) != 0;
  }
  step.after = reader.Counts("after");
  if (!reader.ok()) return reader.ret();
  return step;
}

RetVal<JobDefinition> DecodeJob(std::string_view id, const QueueName& queue,
                                std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  reader.Require("steps");
  JobDefinition job{.id = JobId(id), .queue = queue, .payload = reader.Text("spec")};
  job.schedule = {.first_due_unix_ms = reader.Integer("firstDueMs", json::kClockRange),
                  .interval_ms = ToMilliseconds(reader.Interval("intervalMs")),
                  .occurrences = reader.Count("times")};
  if (const bj::array* steps = reader.Array("steps")) {
    for (const bj::value& step : *steps) {
      auto decoded = DecodeStep(step);
      if (!decoded.ok()) return decoded.ret();
      job.steps.push_back(std::move(decoded).value());
    }
  }
  if (!reader.ok()) return reader.ret();
  if (job.payload.size() > kMaxPayloadBytes) {
    return Ret(ErrorCode::kInvalidArgument, "the payload is too large");
  }
  if (Ret valid = scheduling::Validate(job); !valid.ok()) return valid;
  job.accepted_unix_ms = UnixMilliseconds();
  return job;
}

http::Response MakeJsonResponse(int status, const bj::object& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = QByteArray::fromStdString(bj::serialize(body))};
}

}  // namespace

std::variant<CallHead, CallError> HttpClientProtocol::DecodeHead(
    const http::Request& request, const fleet::Configuration& configuration) const {
  const std::string_view host = HostWithoutPort(http::FindHeader(request.headers, "Host"));
  CallHead head{.queue = configuration.FindQueue(host, request.path), .deadline = kDefaultDeadline};
  if (!head.queue) return CallError{CallError::Kind::kNoSuchQueue, "no queue at this path"};
  const std::string_view deadline = http::FindHeader(request.headers, "X-Request-Deadline");
  int64_t deadline_ms = 0;
  std::from_chars(deadline.data(), deadline.data() + deadline.size(), deadline_ms);
  if (deadline_ms > 0) {
    head.deadline = std::chrono::milliseconds(std::min(deadline_ms, ToMilliseconds(kMaxDeadline)));
  }
  if (head.queue->is_public || configuration.teams.empty()) return head;
  auto key = DecodeApiKey(request.headers);
  if (auto* error = std::get_if<CallError>(&key)) return std::move(*error);
  head.api_key = std::get<std::string>(std::move(key));
  return head;
}

std::variant<CallAction, CallError> HttpClientProtocol::Decode(const http::Request& request,
                                                               const CallHead& head) const {
  const std::string_view id = std::string_view(request.path).substr(head.queue->path_prefix.size());
  if (id.empty() && request.method == "GET") return fleet::CountPending{};
  if (!IsJobId(id)) return CallError{CallError::Kind::kMalformed, "not a job id"};
  if (request.method == "GET") return fleet::ShowJob{JobId(id)};
  if (request.method == "DELETE") return fleet::CancelJob{JobId(id)};
  if (request.method != "POST") {
    return CallError{CallError::Kind::kMethodNotAllowed, "use GET, POST or DELETE"};
  }
  const std::string_view body(request.body.constData(), static_cast<size_t>(request.body.size()));
  auto job = DecodeJob(id, head.queue->policy.name, body);
  if (!job.ok()) return CallError{CallError::Kind::kMalformed, std::string(job.ret().message())};
  return fleet::SubmitJob{std::move(job).value()};
}

http::Response HttpClientProtocol::Encode(CallOutcome answer, Duration retry_after) const {
  switch (answer) {
    case CallOutcome::kAccepted:
    case CallOutcome::kCancelled:
      return MakeJsonResponse(200, {});
    case CallOutcome::kNoSuchJob:
      return http::MakeErrorResponse(410, "no_such_job", "no such job");
    case CallOutcome::kOtherTeam:
      return EncodeError({CallError::Kind::kOtherTeam, "the job belongs to another team"});
    case CallOutcome::kTooLarge:
      return http::MakeErrorResponse(413, "too_large", "the job is too large to be stored");
    case CallOutcome::kUnknownOutcome:
      return http::MakeErrorResponse(504, "unknown_outcome", "the call may have taken effect");
    case CallOutcome::kNotAccepted:
      break;
  }
  http::Response response =
      http::MakeErrorResponse(503, "not_accepted", "the call had no effect; try again later");
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  response.headers.push_back({"Retry-After", std::to_string(seconds)});
  return response;
}

http::Response HttpClientProtocol::EncodeState(scheduling::JobState state) const {
  static constexpr std::array<std::string_view, 5> kNames{"queued", "running", "completed",
                                                          "failed", "cancelled"};
  return MakeJsonResponse(200, {{"state", kNames[static_cast<size_t>(state)]}});
}

http::Response HttpClientProtocol::EncodePending(int64_t pending) const {
  return MakeJsonResponse(200, {{"pending", pending}});
}

http::Response HttpClientProtocol::EncodeError(const CallError& error) const {
  switch (error.kind) {
    case CallError::Kind::kNoSuchQueue:
      return http::MakeErrorResponse(404, "no_such_queue", error.message);
    case CallError::Kind::kMethodNotAllowed:
      return http::MakeErrorResponse(405, "method_not_allowed", error.message);
    case CallError::Kind::kUnknownKey: {
      http::Response response = http::MakeErrorResponse(401, "unknown_key", error.message);
      response.headers.push_back({"WWW-Authenticate", "Token"});
      return response;
    }
    case CallError::Kind::kOtherTeam:
      return http::MakeErrorResponse(403, "other_team", error.message);
    case CallError::Kind::kMalformed:
      break;
  }
  return http::MakeErrorResponse(400, "malformed", error.message);
}

}  // namespace citronferry::platform
