#include "cli/internal/entry_client.h"

namespace citronferry::cli {
namespace {

constexpr Duration kRequestTimeout = 5s;

}  // namespace

QCoro::Task<RetVal<std::string>> CallEntry(http::Client& client, ServerAccess entry,
                                           std::string method, std::string path) {
  http::ClientRequest request{
      .method = std::move(method), .url = entry.url + path, .timeout = kRequestTimeout};
  if (!entry.token.empty()) request.headers.push_back({"Authorization", "Bearer " + entry.token});
  const auto response = co_await client.Send(std::move(request));
  if (!response.ok()) co_return response.ret();
  const std::string body = response->body.toStdString();
  if (response->status >= 200 && response->status < 300) co_return body;
  if (response->status == 401 || response->status == 403) {
    co_return Ret(ErrorCode::kPermissionDenied, "the entry rejected the token");
  }
  co_return Ret(ErrorCode::kInternal, "the entry responded with status " +
                                          std::to_string(response->status) + ": " + body);
}

}  // namespace citronferry::cli
