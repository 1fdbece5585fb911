#include "node/admin/internal/status.h"

#include <sodium.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>

namespace citronferry::node {
namespace {

constexpr std::array<const char*, 4> kOutcomes{"answered", "not-run", "unknown", "failed"};

QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonArray RenderEntries(const NodeContext& context) {
  QJsonArray entries;
  for (const RosterEntry& entry : context.roster.Get().entries) {
    const bool alive =
        entry.id == context.settings.id || context.peers.Get().alive.contains(entry.id);
    entries.append(QJsonObject{
        {QStringLiteral("id"), Text(entry.id.view())},
        {QStringLiteral("configuration_version"), static_cast<qint64>(entry.configuration_version)},
        {QStringLiteral("acknowledged_sequence"), static_cast<qint64>(entry.acknowledged_sequence)},
        {QStringLiteral("alive"), alive}});
  }
  return entries;
}

/// @return the budget of a pool: the smallest of the services that use it.
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
    for (const platform::InstanceInfo& instance : fleet.instances) {
      const auto ownership = fleet.ownership.find(instance.id);
      const auto in_service = serving.find(instance.id);
      const bool is_serving = in_service != serving.end() && in_service->second == pool.name;
      const bool owned =
          ownership == fleet.ownership.end() ? is_serving : ownership->second.pool == pool.name;
      if (instance.is_entry || !owned) continue;
      ++instances;
      if (!is_serving || instance.state != platform::InstanceState::kLive) continue;
      ++live;
      const auto free = load.free_slots.find(instance.id);
      if (free != load.free_slots.end()) free_slots += std::max(0, free->second);
    }
    const auto waiting = load.waiting.find(pool.name);
    pools.append(
        QJsonObject{{QStringLiteral("name"), Text(pool.name.view())},
                    {QStringLiteral("instances"), instances},
                    {QStringLiteral("serving"), live},
                    {QStringLiteral("max_unavailable"), MaxUnavailable(*document, pool.name)},
                    {QStringLiteral("waiting"),
                     waiting == load.waiting.end() ? 0 : static_cast<qint64>(waiting->second)},
                    {QStringLiteral("free_slots"), free_slots}});
  }
  return pools;
}

QJsonObject RenderOutcomes(const NodeContext& context) {
  QJsonObject outcomes;
  for (const char* outcome : kOutcomes) {
    const auto& counter = context.metrics.Counter(
        "citronferry_requests_total", "Requests answered, by outcome.", {{"outcome", outcome}});
    outcomes.insert(QLatin1String(outcome), static_cast<qint64>(counter.Value()));
  }
  return outcomes;
}

std::string DescribeStore(const NodeContext& context) {
  if (!context.store_read) return "the table service has not answered yet";
  const Duration age = context.timers.Now() - *context.store_read;
  return "the table service last answered " + std::to_string(ToMilliseconds(age)) + " ms ago";
}

}  // namespace

QByteArray RenderStatus(const NodeContext& context) {
  const ActiveConfiguration& configuration = context.configuration.Get();
  const bool draining = context.lifecycle.Get() == Lifecycle::kDraining;
  const QJsonObject json{
      {QStringLiteral("entry"), Text(context.settings.id.view())},
      {QStringLiteral("incarnation"), Text(context.incarnation)},
      {QStringLiteral("lifecycle"),
       draining ? QStringLiteral("draining") : QStringLiteral("serving")},
      {QStringLiteral("configuration"),
       QJsonObject{{QStringLiteral("version"), static_cast<qint64>(configuration.version)},
                   {QStringLiteral("digest"), Text(configuration.digest)}}},
      {QStringLiteral("entries"), RenderEntries(context)},
      {QStringLiteral("pools"), RenderPools(context)},
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
  constexpr std::string_view kScheme = "Bearer ";
  if (token.empty() || !authorization.starts_with(kScheme)) return false;
  authorization.remove_prefix(kScheme.size());
  // Digests have one length, so that the comparison does not reveal the token's.
  using Digest = std::array<unsigned char, crypto_generichash_BYTES>;
  const auto digest = [](std::string_view text) {
    Digest result{};
    crypto_generichash(result.data(), result.size(),
                       reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr,
                       0);
    return result;
  };
  const Digest given = digest(authorization);
  const Digest expected = digest(token);
  return sodium_memcmp(given.data(), expected.data(), given.size()) == 0;
}

}  // namespace citronferry::node
