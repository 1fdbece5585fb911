#include "platform/internal/instances.h"

#include <array>

#include "json/reader.h"
#include "platform/internal/wire.h"

namespace citronferry::platform {
namespace {

using fleet::Instance;
using fleet::InstanceOrderOutcome;
using fleet::InstanceState;
namespace bj = boost::json;

constexpr Duration kCallTimeout = 1000ms;

constexpr std::array<WireName<InstanceState>, 4> kInstanceStates{
    {{"up", InstanceState::kUp},
     {"moving", InstanceState::kMoving},
     {"upkeep", InstanceState::kInMaintenance},
     {"down", InstanceState::kDown}}};

Instance DecodeInstance(const bj::value& value) {
  json::ObjectReader reader(value);
  Instance instance;
  instance.id = InstanceId(reader.Text("machineId"));
  instance.pool = PoolName(reader.Text("pool"));
  instance.executor = scheduling::ExecutorId(reader.Text("id"));
  instance.state =
      FindByWireName(kInstanceStates, reader.Text("state")).value_or(InstanceState::kDown);
  instance.rack = RackFromLabels(reader.Array("labels"));
  return instance;
}

}  // namespace

QCoro::Task<RetVal<std::vector<Instance>>> HttpInstances::List() {
  std::vector<Instance> instances;
  std::string page_token;
  do {
    std::string url = "http://" + m_address + "/v1/machines";
    if (!page_token.empty()) {
      url += "?pageToken=" + http::PercentEncode(page_token);
    }
    http::ClientRequest request{.url = url,
                                .timeout = kCallTimeout,
                                .idempotency = http::Idempotency::kSafe,
                                .kind = "instance_list"};
    const auto response = co_await m_client.Send(std::move(request));
    if (!response.ok()) co_return response.ret();
    if (response->status != 200) {
      co_return Ret(ErrorCode::kUnavailable,
                    "the instance list returned HTTP status " + std::to_string(response->status));
    }
    const auto value = json::Parse(BodyText(response.value()));
    if (!value.ok()) co_return value.ret();
    json::ObjectReader reader(value.value());
    if (const bj::array* rows = reader.Array("machines")) {
      for (const bj::value& row : *rows) instances.push_back(DecodeInstance(row));
    }
    page_token = reader.Text("nextToken");
    if (!reader.ok()) co_return reader.ret();
  } while (!page_token.empty());
  co_return instances;
}

QCoro::Task<InstanceOrderOutcome> HttpInstances::SendOrder(std::string path, std::string body,
                                                           fleet::OrderIssuer authority) {
  http::ClientRequest request{
      .method = "POST",
      .url = "http://" + m_address + path,
      .headers = {{"Content-Type", "application/json"},
                  {"X-Lease-Holder", authority.holder},
                  {"X-Fencing-Token", std::to_string(authority.fencing_token)}},
      .body = QByteArray::fromStdString(body),
      .timeout = kCallTimeout,
      .idempotency = http::Idempotency::kNonIdempotent,
      .kind = "instance_order"};
  const auto response = co_await m_client.Send(std::move(request));
  if (!response.ok()) co_return InstanceOrderOutcome::kUnknown;
  switch (response->status) {
    case 200:
      co_return InstanceOrderOutcome::kAccepted;
    case 400:
      co_return InstanceOrderOutcome::kRefused;
    case 429:
    case 503:
      co_return InstanceOrderOutcome::kThrottled;
    case 409: {
      const auto value = json::Parse(BodyText(response.value()));
      const std::string reason =
          value.ok() ? json::ObjectReader(value.value()).Text("reason") : std::string();
      if (reason == "fence") co_return InstanceOrderOutcome::kFenced;
      // Reason "wave": the maintenance wave does not include this instance.
      co_return reason == "wave" ? InstanceOrderOutcome::kRefused : InstanceOrderOutcome::kBusy;
    }
    default:
      co_return InstanceOrderOutcome::kUnknown;
  }
}

QCoro::Task<InstanceOrderOutcome> HttpInstances::Move(InstanceId instance, PoolName pool,
                                                      fleet::OrderIssuer authority) {
  const bj::object body{{"machineId", instance.str()}, {"pool", pool.str()}};
  return SendOrder("/v1/machine-move", bj::serialize(body), std::move(authority));
}

QCoro::Task<InstanceOrderOutcome> HttpInstances::StartMaintenance(InstanceId instance, int64_t wave,
                                                                  fleet::OrderIssuer authority) {
  const bj::object body{{"machineId", instance.str()}, {"wave", wave}};
  return SendOrder("/v1/machine-upkeep", bj::serialize(body), std::move(authority));
}

}  // namespace citronferry::platform
