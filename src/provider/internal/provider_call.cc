#include "provider/internal/provider_call.h"

namespace citronferry::provider {

QCoro::Task<RetVal<http::Response>> ProviderCaller::Send(ProviderCall call) {
  if (!m_options.token.empty()) {
    call.headers.push_back({"Authorization", "Bearer " + m_options.token});
  }
  // Reads may travel on kept-alive connections; a write must not be repeated behind our back.
  const auto idempotency =
      call.method == "GET" ? http::Idempotency::kIdempotent : http::Idempotency::kNonIdempotent;
  http::ClientRequest request{.method = std::move(call.method),
                              .url = m_options.url + call.path,
                              .headers = std::move(call.headers),
                              .body = QByteArray::fromStdString(call.body),
                              .timeout = m_options.timeout,
                              .idempotency = idempotency};
  auto response = co_await m_client.Send(std::move(request));
  if (!response.ok()) {
    // The connection may have gone silent for good, so the next call makes a new one.
    if (response.code() == ErrorCode::kUnknownOutcome) m_client.InvalidateConnections();
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

Ret StatusError(const http::Response& response, std::string_view what) {
  const std::string message = std::string(what) + ": status " + std::to_string(response.status);
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
