#include "node/admin/internal/status.h"

#include <sodium.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>

#include "http/authorization.h"
#include "node/qt_text.h"

namespace citronferry::node {
namespace {

// Values of the outcome label of citronferry_requests_total that the status reports.
constexpr std::array<const char*, 4> kOutcomeLabels{"answered", "not-run", "unknown", "failed"};

QJsonArray RenderEntries(const NodeContext& context) {
  QJsonArray entries;
  for (const RosterEntry& entry : context.roster.Get().entries) {
    const bool alive =
        entry.id == context.settings.id || context.peers.Get().alive.contains(entry.id);
    entries.append(QJsonObject{
        {QStringLiteral("id"), ToQString(entry.id.view())},
        {QStringLiteral("configuration_version"), static_cast<qint64>(entry.configuration_version)},
        {QStringLiteral("acknowledged_sequence"), static_cast<qint64>(entry.acknowledged_sequence)},
        {QStringLiteral("alive"), alive}});
  }
  return entries;
}

/// @return how many instances of a pool may be out of service at once: the smallest limit of the
///   services that use it, 0 without a service.
int MaxUnavailable(const document::Document& document, const PoolName& pool) {
  int smallest = -1;
  for (const document::Service& service : document.services) {
    if (service.pool != pool) continue;
    smallest = smallest < 0 ? service.max_unavailable : std::min(smallest, service.max_unavailable);
  }
  return std::max(0, smallest);
}

QJsonArray RenderPools(const NodeContext& context) {
  QJsonArray pools;
  const auto& document = context.configuration.Get().document;
  if (!document) return pools;
  const GatewayLoad load = context.read_load ? context.read_load() : GatewayLoad{};
  const std::map<InstanceId, PoolName> serving = PoolsInService(context);
  const FleetView& fleet = context.fleet.Get();
  for (const document::Pool& pool : document->pools) {
    int instances = 0;
    int live = 0;
    int free_slots = 0;
    for (const provider::InstanceInfo& instance : fleet.instances) {
      const auto ownership = fleet.ownership.find(instance.id);
      const auto in_service = serving.find(instance.id);
      const bool is_serving = in_service != serving.end() && in_service->second == pool.name;
      const bool owned =
          ownership == fleet.ownership.end() ? is_serving : ownership->second.pool == pool.name;
      if (instance.is_entry || !owned) continue;
      ++instances;
      if (!is_serving || instance.state != provider::InstanceState::kLive) continue;
      ++live;
      const auto free = load.free_slots.find(instance.id);
      if (free != load.free_slots.end()) free_slots += std::max(0, free->second);
    }
    const auto waiting = load.waiting.find(pool.name);
    QJsonArray out;
    for (const auto& [id, ownership] : fleet.ownership) {
      if (ownership.pool == pool.name && !ownership.serving) out.append(ToQString(id.view()));
    }
    pools.append(
        QJsonObject{{QStringLiteral("name"), ToQString(pool.name.view())},
                    {QStringLiteral("instances"), instances},
                    {QStringLiteral("serving"), live},
                    {QStringLiteral("max_unavailable"), MaxUnavailable(*document, pool.name)},
                    {QStringLiteral("waiting"),
                     waiting == load.waiting.end() ? 0 : static_cast<qint64>(waiting->second)},
                    {QStringLiteral("out"), out},
                    {QStringLiteral("free_slots"), free_slots}});
  }
  return pools;
}

/// @return the state of the planner; pools and moves are known only to the holder of its lease.
QJsonObject RenderPlanner(const PlannerStatus& planner) {
  QJsonObject moving;
  for (const auto& [instance, target] : planner.moving) {
    moving.insert(ToQString(instance.view()), ToQString(target.view()));
  }
  return {{QStringLiteral("holder"), ToQString(planner.holder)},
          {QStringLiteral("acting"), planner.acting},
          {QStringLiteral("epoch"), static_cast<qint64>(planner.epoch)},
          {QStringLiteral("moving"), moving}};
}

QJsonArray RenderWaves(const PlannerStatus& planner) {
  QJsonArray waves;
  for (const PlannerPoolStatus& pool : planner.pools) {
    if (pool.wave.empty()) continue;
    QJsonArray failed;
    for (const InstanceId& instance : pool.failed) failed.append(ToQString(instance.view()));
    waves.append(QJsonObject{{QStringLiteral("name"), ToQString(pool.wave)},
                             {QStringLiteral("pool"), ToQString(pool.pool.view())},
                             {QStringLiteral("done"), pool.instances - pool.remaining},
                             {QStringLiteral("total"), pool.instances},
                             {QStringLiteral("planned_out"), pool.planned},
                             {QStringLiteral("unplanned_out"), pool.unplanned},
                             {QStringLiteral("allowed_out"), pool.allowed},
                             {QStringLiteral("failed"), failed},
                             {QStringLiteral("seconds_left"), ToSeconds(pool.estimate)}});
  }
  return waves;
}

QJsonObject RenderOutcomes(const NodeContext& context) {
  QJsonObject outcomes;
  for (const char* outcome : kOutcomeLabels) {
    const auto& counter = context.metrics.Counter(
        "citronferry_requests_total", "Requests answered, by outcome.", {{"outcome", outcome}});
    outcomes.insert(QLatin1String(outcome), static_cast<qint64>(counter.Value()));
  }
  return outcomes;
}

std::string DescribeStore(const NodeContext& context) {
  if (!context.last_store_response) return "the table service has not answered yet";
  const Duration age = context.timers.Now() - *context.last_store_response;
  return "the table service last answered " + std::to_string(ToMilliseconds(age)) + " ms ago";
}

}  // namespace

QByteArray RenderStatus(const NodeContext& context) {
  const ActiveConfiguration& configuration = context.configuration.Get();
  const bool draining = context.lifecycle.Get() == Lifecycle::kDraining;
  const QJsonObject json{
      {QStringLiteral("entry"), ToQString(context.settings.id.view())},
      {QStringLiteral("incarnation"), ToQString(context.incarnation)},
      {QStringLiteral("lifecycle"),
       draining ? QStringLiteral("draining") : QStringLiteral("serving")},
      {QStringLiteral("configuration"),
       QJsonObject{{QStringLiteral("version"), static_cast<qint64>(configuration.version)},
                   {QStringLiteral("digest"), ToQString(configuration.digest)}}},
      {QStringLiteral("entries"), RenderEntries(context)},
      {QStringLiteral("pools"), RenderPools(context)},
      {QStringLiteral("planner"), RenderPlanner(context.planner.Get())},
      {QStringLiteral("waves"), RenderWaves(context.planner.Get())},
      {QStringLiteral("outcomes"), RenderOutcomes(context)}};
  return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<NotReadyReason> FindNotReadyReason(const NodeContext& context) {
  if (context.lifecycle.Get() == Lifecycle::kDraining) {
    return NotReadyReason{"draining", "this entry is draining"};
  }
  if (context.configuration.Get().version == 0) {
    const std::string& problem = context.configuration_problem;
    return NotReadyReason{"no_configuration", "no configuration was adopted yet" +
                                                  (problem.empty() ? "" : ": " + problem) + "; " +
                                                  DescribeStore(context)};
  }
  const auto& entries = context.roster.Get().entries;
  const bool registered = std::any_of(entries.begin(), entries.end(), [&](const RosterEntry& e) {
    return e.id == context.settings.id;
  });
  if (!registered) {
    return NotReadyReason{"no_roster",
                          "this entry is not in the roster; " + DescribeStore(context)};
  }
  return std::nullopt;
}

bool IsAuthorized(std::string_view authorization, std::string_view token) {
  const std::string_view given = http::BearerToken(authorization);
  if (token.empty() || given.empty()) return false;
  // Digests are equally long, so that the comparison does not reveal the length of the token.
  const std::string given_digest = Sha256Hex(given);
  const std::string expected_digest = Sha256Hex(token);
  return sodium_memcmp(given_digest.data(), expected_digest.data(), given_digest.size()) == 0;
}

}  // namespace citronferry::node
