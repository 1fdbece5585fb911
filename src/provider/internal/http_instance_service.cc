#include "provider/internal/http_instance_service.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace citronferry::provider {
namespace {

std::string GetString(const QJsonObject& object, const char* name) {
  return object.value(QLatin1String(name)).toString().toStdString();
}

InstanceInfo ParseInstance(const QJsonObject& object) {
  return {.id = InstanceId(GetString(object, "id")),
          .address = GetString(object, "address"),
          .data_centre = DataCentreName(GetString(object, "data_centre")),
          .rack = RackName(GetString(object, "rack")),
          .state = GetString(object, "state") == "leaving" ? InstanceState::kLeaving
                                                           : InstanceState::kLive,
          .is_entry = GetString(object, "role") == "entry"};
}

}  // namespace

QCoro::Task<RetVal<std::vector<InstanceInfo>>> HttpInstanceService::List() {
  ProviderCall call{.path = "/v1/instances"};
  if (!m_etag.empty()) call.headers.push_back({"If-None-Match", m_etag});
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status == 304) {
    // QCoro moves from the operand of co_return even if it is a member, so a copy is returned.
    std::vector<InstanceInfo> unchanged = m_last_list;
    co_return unchanged;
  }
  if (response->status != 200) co_return MakeStatusError(response.value(), "list of instances");
  const QJsonDocument json = QJsonDocument::fromJson(response->body);
  if (!json.isArray()) co_return Ret(ErrorCode::kInternal, "the instance list is not a JSON array");
  std::vector<InstanceInfo> instances;
  for (const auto& item : json.array()) instances.push_back(ParseInstance(item.toObject()));
  m_etag = http::FindHeader(response->headers, "ETag");
  m_last_list = instances;
  co_return instances;
}

QCoro::Task<Ret> HttpInstanceService::Reboot(InstanceId instance) {
  ProviderCall call{.method = "POST",
                    .path = "/v1/instances/" + http::PercentEncode(instance.view()) + "/reboot"};
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status != 202) co_return MakeStatusError(response.value(), "reboot of an instance");
  co_return MakeOk();
}

}  // namespace citronferry::provider
