#include "node/gateway/internal/responses.h"

namespace citronferry::node {
namespace {

constexpr Duration kStoreRetryAfter = 1s;

void AddRetryAfter(http::Response& response, Duration retry_after) {
  if (retry_after <= Duration::zero()) return;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  response.headers.push_back({"Retry-After", std::to_string(seconds)});
}

}  // namespace

http::Response NotRunResponse(int status, std::string_view code, std::string_view message,
                              Duration retry_after) {
  http::Response response = http::MakeErrorResponse(status, code, message);
  response.headers.push_back({kOutcomeHeader, "not-run"});
  AddRetryAfter(response, retry_after);
  return response;
}

http::Response InProgressResponse(int status, std::string_view location) {
  http::Response response =
      http::MakeErrorResponse(status, "in_progress", "the request is waiting or running");
  response.headers.push_back({kOutcomeHeader, "in-progress"});
  response.headers.push_back({"Location", std::string(location)});
  AddRetryAfter(response, kStoreRetryAfter);
  return response;
}

http::Response UnknownOutcomeResponse(std::string_view reason, std::string_view location) {
  http::Response response = http::MakeErrorResponse(504, "unknown", reason);
  response.headers.push_back({kOutcomeHeader, "unknown"});
  response.headers.push_back({"Location", std::string(location)});
  return response;
}

http::Response StoreUnavailableResponse(std::string_view message) {
  http::Response response = http::MakeErrorResponse(503, "store_unavailable", message);
  AddRetryAfter(response, kStoreRetryAfter);
  return response;
}

http::Response CancelledResponse(std::string_view message) {
  http::Response response = http::MakeErrorResponse(200, "cancelled", message);
  response.headers.push_back({kOutcomeHeader, "not-run"});
  return response;
}

std::string RequestLocation(std::string_view key) { return "/v1/requests/" + std::string(key); }

std::string JobLocation(std::string_view id) { return "/v1/jobs/" + std::string(id); }

}  // namespace citronferry::node
