#include "provider/internal/provider_client.h"

namespace citronferry::provider {

QCoro::Task<RetVal<http::Response>> ProviderClient::Send(ProviderCall call) {
  if (!m_options.token.empty()) {
    call.headers.push_back({"Authorization", "Bearer " + m_options.token});
  }
  const auto idempotency =
      call.method == "GET" ? http::Idempotency::kSafe : http::Idempotency::kNonIdempotent;
  http::ClientRequest request{.method = std::move(call.method),
                              .url = m_options.url + call.path,
                              .headers = std::move(call.headers),
                              .body = QByteArray::fromStdString(call.body),
                              .timeout = m_options.timeout,
                              .idempotency = idempotency};
  auto response = co_await m_http_client.Send(std::move(request));
  if (!response.ok()) {
    // The connection may be dead without having been closed, so the next call opens a new one.
    if (response.code() == ErrorCode::kUnknownOutcome) m_http_client.InvalidateConnections();
    co_return response;
  }
  if (response->status == 503) {
    co_return Ret(ErrorCode::kUnavailable, "the platform is unavailable");
  }
  if (response->status >= 500) {
    co_return Ret(ErrorCode::kUnknownOutcome,
                  "the platform answered " + std::to_string(response->status));
  }
  co_return response;
}

Ret MakeStatusError(const http::Response& response, std::string_view operation) {
  const std::string message =
      std::string(operation) + ": status " + std::to_string(response.status);
  switch (response.status) {
    case 401:
      return {ErrorCode::kUnauthenticated, message};
    case 403:
      return {ErrorCode::kPermissionDenied, message};
    case 404:
      return {ErrorCode::kNotFound, message};
    case 409:
    case 412:
      return {ErrorCode::kConflict, message};
    case 429:
      return {ErrorCode::kUnavailable, message};
    default:
      return {ErrorCode::kInternal, message};
  }
}

}  // namespace citronferry::provider
