#include "provider/internal/http_object_store.h"

namespace citronferry::provider {
namespace {

std::string ObjectPath(std::string_view key) { return "/v1/objects/" + http::PercentEncode(key); }

}  // namespace

QCoro::Task<Ret> HttpObjectStore::Put(std::string key, std::string content) {
  ProviderCall call{.method = "PUT", .path = ObjectPath(key), .body = std::move(content)};
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status != 200 && response->status != 201) {
    co_return MakeStatusError(response.value(), "write of an object");
  }
  co_return MakeOk();
}

QCoro::Task<RetVal<std::string>> HttpObjectStore::Get(std::string key) {
  ProviderCall call{.path = ObjectPath(key)};
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status != 200) co_return MakeStatusError(response.value(), "read of an object");
  co_return response->body.toStdString();
}

}  // namespace citronferry::provider
