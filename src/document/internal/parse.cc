#include <algorithm>

#include "document/document.h"
#include "document/internal/toml_reader.h"

namespace citronferry::document {
namespace {

Service ReadService(TomlReader& reader) {
  Service service;
  service.name = ServiceName(reader.RequiredString("name"));
  service.pool = PoolName(reader.RequiredString("pool"));
  service.max_unavailable = reader.Int("max_unavailable", 1, 0, 1000);
  service.reserve = reader.Int("reserve", 1, 0, 1000);
  return service;
}

Pool ReadPool(TomlReader& reader) {
  Pool pool;
  pool.name = PoolName(reader.RequiredString("name"));
  pool.spare = reader.Bool("spare", false);
  for (const std::string& id : reader.Strings("instances")) pool.instances.emplace_back(id);
  pool.min_instances = reader.Int("min_instances", 1, 0, 10000);
  pool.urgent_reserve = reader.Number("urgent_reserve", 0.25, 0, 0.9);
  pool.target_utilisation = reader.Number("target_utilisation", 0.7, 0.1, 1.0);
  return pool;
}

Queue ReadQueue(TomlReader& reader) {
  Queue queue;
  queue.name = QueueName(reader.RequiredString("name"));
  queue.service = ServiceName(reader.RequiredString("service"));
  queue.priority = static_cast<Priority>(
      reader.Choice("priority", {"urgent", "interactive", "batch", "watcher"}, 1));
  queue.idempotent = reader.Bool("idempotent", false);
  queue.durable = reader.Bool("durable", false);
  queue.deadline = reader.Time("deadline", 30s, 10ms, 24h * 28);
  queue.wait_limit = reader.Time("wait_limit", 30s, 10ms, 24h * 28);
  queue.declared_run_time = reader.Time("declared_run_time", 1s, 1ms, 24h * 28);
  queue.max_queued = reader.Int("max_queued", 1000, 1, 1000000);
  queue.max_attempts = reader.Int("max_attempts", 3, 1, 100);
  return queue;
}

Team ReadTeam(TomlReader& reader) {
  Team team;
  team.name = TeamName(reader.RequiredString("name"));
  team.weight = reader.Number("weight", 1.0, 0.01, 1000);
  team.token_sha256 = reader.RequiredString("token_sha256");
  return team;
}

Wave ReadWave(TomlReader& reader) {
  Wave wave;
  wave.name = reader.RequiredString("name");
  for (const std::string& pool : reader.Strings("pools")) wave.pools.emplace_back(pool);
  wave.order = static_cast<WaveOrder>(
      reader.Choice("order", {"rack_by_rack", "spread", "longest_since_maintenance"}, 0));
  wave.instance_timeout = reader.Time("instance_timeout", 15min, 1s, 24h);
  wave.generation = reader.Int("generation", 1, 1, 1000000);
  return wave;
}

template <typename T>
std::vector<T> ReadAll(TomlReader& root, std::string_view key, T (*read)(TomlReader&)) {
  std::vector<T> values;
  for (TomlReader& reader : root.Tables(key)) {
    values.push_back(read(reader));
    reader.RejectUnknownKeys();
  }
  return values;
}

}  // namespace

ParseResult ParseDocument(std::string_view text) {
  ParseResult result;
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    result.problems.push_back({.line = static_cast<int>(parsed.error().source().begin.line),
                               .key = "",
                               .message = std::string(parsed.error().description())});
    return result;
  }
  TomlReader root(parsed.table(), "", result.problems);
  result.document.environment = root.RequiredString("environment");
  result.document.services = ReadAll(root, "service", ReadService);
  result.document.pools = ReadAll(root, "pool", ReadPool);
  result.document.queues = ReadAll(root, "queue", ReadQueue);
  result.document.teams = ReadAll(root, "team", ReadTeam);
  result.document.waves = ReadAll(root, "wave", ReadWave);
  root.RejectUnknownKeys();
  return result;
}

}  // namespace citronferry::document
