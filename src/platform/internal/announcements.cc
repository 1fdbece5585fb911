#include "platform/internal/announcements.h"

#include <span>
#include <utility>

#include "document/settings.h"
#include "json/reader.h"
#include "platform/internal/wire.h"

namespace citronferry::platform {
namespace {

using fleet::Configuration;
using fleet::MaintenanceWave;
using fleet::OperatorChanges;
using fleet::QueueRoute;
using fleet::RegistryChanges;
using fleet::Row;
using fleet::Team;
using scheduling::ExecutorDescription;
namespace bj = boost::json;

constexpr std::string_view kOperatorTable = "op";
constexpr std::string_view kStatusTable = "status";
constexpr std::string_view kConfigurationKey = "config";
constexpr std::string_view kWavePrefix = "wave/";
constexpr Duration kPublishTimeout = 1000ms;

QueueRoute DecodeRoute(const bj::value& value, std::string& error) {
  json::ObjectReader reader(value);
  QueueRoute route;
  route.policy.name = QueueName(reader.Text("name"));
  route.policy.pool = PoolName(reader.Text("backend"));
  route.policy.priority = reader.Count("priority");
  route.policy.max_attempts = reader.Count("maxAttempts", 1);
  route.policy.latency_multiplier = reader.Number("latencyMultiplier", 1);
  route.policy.target_latency = reader.Interval("targetLatencyMs");
  route.host = reader.Text("host");
  route.path_prefix = reader.Text("pathPrefix");
  route.is_public = reader.Boolean("public");
  if (const bj::value* advice = reader.Find("advice")) {
    json::ObjectReader advice_reader(*advice);
    route.policy.needs_advice = true;
    route.policy.advice_delay = advice_reader.Interval("decisionMs");
    // The adviser's processing time for each candidate executor, not an interval.
    route.policy.advice_per_executor = advice_reader.Interval("periodMs");
    route.policy.advice_validity = advice_reader.Interval("validMs");
    if (!advice_reader.ok() && error.empty()) error = std::string(advice_reader.ret().message());
  }
  if (!reader.ok() && error.empty()) error = std::string(reader.ret().message());
  return route;
}

Team DecodeTeam(const bj::value& value, std::string& error) {
  json::ObjectReader reader(value);
  Team team{.name = TeamName(reader.Text("name")), .weight = reader.Number("weight", 1)};
  if (const bj::array* keys = reader.Array("apiKeys")) {
    for (const bj::value& key : *keys) team.api_keys.emplace_back(json::AsText(key));
  }
  if (const bj::value* quota = reader.Find("maxCount")) {
    json::ObjectReader quota_reader(*quota);
    team.quota = {.cpu_millicores = quota_reader.Count("cpu"),
                  .memory_mb = quota_reader.Count("memMb"),
                  .gpus = quota_reader.Count("gpus")};
    if (!quota_reader.ok() && error.empty()) error = std::string(quota_reader.ret().message());
  }
  if (!reader.ok() && error.empty()) error = std::string(reader.ret().message());
  return team;
}

void Decode(std::span<const Row> rows, OperatorChanges& changes) {
  for (const Row& row : rows) {
    Ret ret;
    if (row.key.key == kConfigurationKey) {
      auto configuration = DecodeConfiguration(row.value);
      ret = configuration.ret();
      if (configuration.ok()) changes.configuration = std::move(configuration).value();
    } else if (row.key.key.starts_with(kWavePrefix)) {
      auto wave = DecodeWave(row.value);
      ret = wave.ret();
      if (wave.ok()) changes.waves.push_back(std::move(wave).value());
    }
    if (ret) continue;
    changes.unreadable.push_back({.key = row.key.key,
                                  .error = std::string(ret.message()),
                                  .is_configuration = row.key.key == kConfigurationKey});
  }
}

void Decode(std::span<const Row> rows, RegistryChanges& changes) {
  for (const Row& row : rows) {
    auto executor = DecodeExecutor(row.key.key, row.value);
    if (executor.ok()) {
      changes.listed.push_back(std::move(executor).value());
      continue;
    }
    changes.unreadable.push_back(
        {.key = row.key.key, .error = std::string(executor.ret().message())});
  }
}

template <typename Changes>
Changes DecodeChanges(std::span<const Row> rows, int64_t version) {
  Changes changes{.version = version};
  Decode(rows, changes);
  return changes;
}

}  // namespace

RetVal<Configuration> DecodeConfiguration(std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  reader.Require("version");
  reader.Require("routes");
  Configuration configuration{.version = reader.Integer("version")};
  std::string error;
  if (const bj::array* routes = reader.Array("routes")) {
    for (const bj::value& route : *routes) {
      configuration.queues.push_back(DecodeRoute(route, error));
    }
  }
  if (const bj::array* services = reader.Array("services")) {
    for (const bj::value& service : *services) {
      json::ObjectReader pool_reader(service);
      configuration.pools.push_back(
          {.name = PoolName(pool_reader.Text("name")),
           .rejects_overload = pool_reader.Boolean("rejectsOverload", true),
           .standby = pool_reader.Boolean("standby")});
      if (!pool_reader.ok() && error.empty()) error = std::string(pool_reader.ret().message());
    }
  }
  if (const bj::array* tenants = reader.Array("tenants")) {
    for (const bj::value& tenant : *tenants) {
      configuration.teams.push_back(DecodeTeam(tenant, error));
    }
  }
  if (const bj::value* limits = reader.Find("limits")) {
    configuration.max_body_bytes = json::ObjectReader(*limits).Integer("maxBodyBytes");
  }
  if (!reader.ok()) return reader.ret();
  if (!error.empty()) return Ret(ErrorCode::kInvalidArgument, error);
  return configuration;
}

RetVal<MaintenanceWave> DecodeWave(std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  reader.Require("wave");
  MaintenanceWave wave{.number = reader.Integer("wave"),
                       .time_left_at_start = reader.Interval("completeByS", 1s),
                       // Limits the instances that are out of service at once, not their total.
                       .max_at_once = reader.Count("maxCount", 1)};
  if (const bj::array* machines = reader.Array("machines")) {
    for (const bj::value& machine : *machines) {
      wave.instances.emplace_back(json::AsText(machine));
    }
  }
  if (!reader.ok()) return reader.ret();
  return wave;
}

RetVal<ExecutorDescription> DecodeExecutor(std::string_view id, std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  for (const char* name : {"backend", "address", "state", "capacity"}) reader.Require(name);
  ExecutorDescription executor;
  executor.id = scheduling::ExecutorId(id);
  executor.pool = PoolName(reader.Text("backend"));
  executor.address = reader.Text("address");
  const auto endpoint = document::ParseEndpoint(executor.address);
  if (id.empty() || executor.pool.empty() || !endpoint || endpoint->port == 0) {
    return Ret(ErrorCode::kInvalidArgument, "no id, no pool, or no IP address with a port");
  }
  executor.data_centre = DataCentreName(reader.Text("zone"));
  executor.incarnation_unix_ms = reader.Integer("born", json::kClockRange);
  const std::string state = reader.Text("state");
  executor.leaving = state == "draining";
  if (!executor.leaving && state != "ready") {
    return Ret(ErrorCode::kInvalidArgument, "unknown state " + state);
  }
  const bj::array* labels = reader.Array("labels");
  if (labels) {
    for (const bj::value& label : *labels) executor.labels.emplace_back(json::AsText(label));
  }
  executor.rack = RackFromLabels(labels);
  if (const bj::value* capacity = reader.Find("capacity")) {
    json::ObjectReader capacity_reader(*capacity);
    executor.capacity = {.cpu_millicores = capacity_reader.Count("cpu"),
                         .memory_mb = capacity_reader.Count("memMb"),
                         .gpus = capacity_reader.Count("gpus")};
    if (!capacity_reader.ok()) return capacity_reader.ret();
  }
  if (!reader.ok()) return reader.ret();
  return executor;
}

QCoro::Task<RetVal<OperatorChanges>> StoreAnnouncements::ReadOperator() {
  const auto range =
      co_await fleet::ReadPartition(m_rows, std::string(kOperatorTable), std::string());
  if (!range.ok()) co_return range.ret();
  co_return DecodeChanges<OperatorChanges>(range->rows, range->version);
}

QCoro::Task<RetVal<OperatorChanges>> StoreAnnouncements::FollowOperator(int64_t after,
                                                                        Duration wait) {
  const auto rows = co_await m_rows.Follow(std::string(kOperatorTable), after, wait);
  if (!rows.ok()) co_return rows.ret();
  co_return DecodeChanges<OperatorChanges>(rows->changed, rows->version);
}

QCoro::Task<RetVal<RegistryChanges>> StoreAnnouncements::ReadRegistry() {
  const auto range =
      co_await fleet::ReadPartition(m_rows, std::string(kRegistryTable), std::string());
  if (!range.ok()) co_return range.ret();
  co_return DecodeChanges<RegistryChanges>(range->rows, range->version);
}

QCoro::Task<RetVal<RegistryChanges>> StoreAnnouncements::FollowRegistry(int64_t after,
                                                                        Duration wait) {
  const auto rows = co_await m_rows.Follow(std::string(kRegistryTable), after, wait);
  if (!rows.ok()) co_return rows.ret();
  RegistryChanges changes = DecodeChanges<RegistryChanges>(rows->changed, rows->version);
  for (const fleet::RowKey& key : rows->removed) changes.removed.emplace_back(key.key);
  co_return changes;
}

QCoro::Task<Ret> StoreAnnouncements::PublishWave(int64_t number, bool completed) {
  const bj::object body{{"wave", number}, {"state", completed ? "completed" : "running"}};
  const fleet::RowKey key{.table = std::string(kStatusTable),
                          .key = std::string(kWavePrefix) + std::to_string(number)};
  fleet::Transaction transaction{.puts = {{.key = key, .value = bj::serialize(body)}}};
  const auto result = co_await m_rows.Transact(std::move(transaction), kPublishTimeout);
  if (result.outcome == fleet::TransactionOutcome::kApplied) co_return MakeOk();
  co_return Ret(ErrorCode::kUnavailable, result.error);
}

}  // namespace citronferry::platform
