#include "fleet/tables.h"

#include <algorithm>
#include <utility>

#include "base/rendezvous.h"
#include "json/reader.h"

namespace citronferry::fleet {
namespace {

using scheduling::JobDefinition;
using scheduling::JobProgress;
using scheduling::JobState;
using scheduling::LinkRecord;
using scheduling::QueuePolicy;
using scheduling::QueueSummary;
using scheduling::StepSpec;
namespace bj = boost::json;

constexpr std::string_view kCancelSuffix = ".cancel";

// At the target load a surge brings 190 jobs a second to a pool, and the entries may write each in
// a transaction of its own. A partition takes 200 transactions a second, so these take 800 in all.
constexpr uint64_t kJobPartitions = 4;
constexpr std::string_view kJobPartitionPrefix = "jobs/";

std::string JobPartition(uint64_t number) {
  return std::string(kJobPartitionPrefix) + std::to_string(number);
}

std::string PartitionOf(const JobId& job) {
  return JobPartition(RendezvousWeight(kJobPartitionPrefix, job.view()) % kJobPartitions);
}

constexpr std::string_view kGrantMembers = "members";
constexpr std::string_view kGrantsPrefix = "pool/";

// Absent or missing amounts are errors: a grant that is read as too small would be granted again.
// Bits of the field `flags` of a step.
constexpr int64_t kGang = 1;
constexpr int64_t kSameRack = 2;
constexpr int64_t kCheckpoints = 4;
constexpr int64_t kCopies = 8;
constexpr int64_t kLongRunning = 16;
constexpr int64_t kLeftoverCpu = 32;

int64_t FlagsOf(const StepSpec& step) {
  return (step.gang_scheduled ? kGang : 0) | (step.same_rack ? kSameRack : 0) |
         (step.checkpoints ? kCheckpoints : 0) | (step.copies_allowed ? kCopies : 0) |
         (step.long_running ? kLongRunning : 0) | (step.uses_leftover_cpu ? kLeftoverCpu : 0);
}

bj::object EncodeStep(const StepSpec& step) {
  bj::object encoded{{"n", step.replicas},
                     {"cpu", step.request.cpu_millicores},
                     {"mem", step.request.memory_mb},
                     {"est", ToMilliseconds(step.estimated_duration)}};
  if (step.request.gpus != 0) encoded["gpu"] = step.request.gpus;
  if (!step.after.empty()) encoded["after"] = bj::array(step.after.begin(), step.after.end());
  if (!step.image.empty()) encoded["image"] = step.image;
  if (!step.required_label.empty()) encoded["label"] = step.required_label;
  if (!step.data_rack.empty()) encoded["rack"] = step.data_rack.str();
  if (step.max_per_executor != 0) encoded["apart"] = step.max_per_executor;
  if (step.max_unavailable != 0) encoded["away"] = step.max_unavailable;
  if (step.tail_target > Duration::zero()) encoded["tail"] = ToMilliseconds(step.tail_target);
  if (const int64_t flags = FlagsOf(step); flags != 0) encoded["flags"] = flags;
  return encoded;
}

bj::object EncodePolicy(const QueuePolicy& policy) {
  bj::object encoded{{"priority", policy.priority},
                     {"attempts", policy.max_attempts},
                     {"multiplier", policy.latency_multiplier},
                     {"target", ToMilliseconds(policy.target_latency)}};
  if (policy.needs_advice) {
    encoded["advice"] = bj::object{{"delay", ToMilliseconds(policy.advice_delay)},
                                   {"per_executor", ToSeconds(policy.advice_per_executor)},
                                   {"validity", ToMilliseconds(policy.advice_validity)}};
  }
  return encoded;
}

// The pool is left empty: it is that of the table.
// @param queue name of the queue, which is not part of the encoded policy.
QueuePolicy DecodePolicy(const bj::value& value, const QueueName& queue) {
  json::ObjectReader reader(value);
  QueuePolicy policy{.name = queue,
                     .priority = reader.Count("priority"),
                     .max_attempts = reader.Count("attempts", 1),
                     .latency_multiplier = reader.Number("multiplier"),
                     .target_latency = reader.Interval("target")};
  const bj::value* advice = reader.Find("advice");
  if (!advice) return policy;
  json::ObjectReader advice_reader(*advice);
  policy.needs_advice = true;
  policy.advice_delay = advice_reader.Interval("delay");
  policy.advice_per_executor = advice_reader.Interval("per_executor", 1s);
  policy.advice_validity = advice_reader.Interval("validity");
  return policy;
}

StepSpec DecodeStep(const bj::value& value, std::string& error) {
  json::ObjectReader reader(value);
  StepSpec step;
  step.replicas = reader.Count("n", 1);
  step.request = {.cpu_millicores = reader.Count("cpu"),
                  .memory_mb = reader.Count("mem"),
                  .gpus = reader.Count("gpu")};
  step.estimated_duration = reader.Interval("est");
  step.after = reader.Counts("after");
  step.image = reader.Text("image");
  step.required_label = reader.Text("label");
  step.data_rack = RackName(reader.Text("rack"));
  step.max_per_executor = reader.Count("apart");
  step.max_unavailable = reader.Count("away");
  step.tail_target = reader.Interval("tail");
  const int64_t flags = reader.Integer("flags");
  step.gang_scheduled = (flags & kGang) != 0;
  step.same_rack = (flags & kSameRack) != 0;
  step.checkpoints = (flags & kCheckpoints) != 0;
  step.copies_allowed = (flags & kCopies) != 0;
  step.long_running = (flags & kLongRunning) != 0;
  step.uses_leftover_cpu = (flags & kLeftoverCpu) != 0;
  if (!reader.ok() && error.empty()) error = std::string(reader.ret().message());
  return step;
}

}  // namespace

std::string JobsTable(const PoolName& pool) { return "jobs-" + pool.str(); }

std::vector<std::string> JobPartitions() {
  std::vector<std::string> partitions;
  for (uint64_t i = 0; i < kJobPartitions; ++i) partitions.push_back(JobPartition(i));
  return partitions;
}

QCoro::Task<RetVal<RowChanges>> ReadTable(RowStore& rows, std::string table,
                                          std::vector<std::string> partitions) {
  if (partitions.empty()) co_return Ret(ErrorCode::kInvalidArgument, "no partition to read");
  auto range = co_await ReadPartitions(rows, std::move(table), std::move(partitions));
  if (!range.ok()) co_return range.ret();
  RowChanges changes;
  changes.changed = std::move(range->rows);
  changes.version = range->version;
  co_return changes;
}

ChangeFeed<RowChanges> MakeTableFeed(RowStore& rows, std::string table,
                                     std::vector<std::string> partitions, Duration wait) {
  return {table, [&rows, table, partitions] { return ReadTable(rows, table, partitions); },
          [&rows, table, wait](int64_t after) { return rows.Follow(table, after, wait); }};
}

RowKey OwnerKey(const PoolName& pool) {
  return {.table = kOwnersTable, .partition = pool.str(), .key = "owner"};
}
RowKey LinkKey(const PoolName& pool, const scheduling::ExecutorId& executor) {
  return {.table = kLinksTable, .partition = pool.str(), .key = executor.str()};
}
RowKey JobKey(const PoolName& pool, const JobId& job) {
  return {.table = JobsTable(pool), .partition = PartitionOf(job), .key = job.str()};
}
RowKey JobPoolKey(const JobId& job) {
  return {.table = kJobPoolsTable, .partition = PartitionOf(job), .key = job.str()};
}
RowKey CancelKey(const PoolName& pool, const JobId& job) {
  return {.table = JobsTable(pool),
          .partition = PartitionOf(job),
          .key = job.str() + std::string(kCancelSuffix)};
}
RowKey ProgressKey(const PoolName& pool, const JobId& job) {
  return {.table = kProgressTable, .partition = pool.str(), .key = job.str()};
}
RowKey QueueKey(const PoolName& pool, const QueueName& queue) {
  return {.table = kQueuesTable, .partition = pool.str(), .key = queue.str()};
}
RowKey ReleaseKey(const PoolName& pool) {
  return {.table = kReleasesTable, .partition = pool.str(), .key = "release"};
}
RowKey HandoverKey(const PoolName& pool, int part) {
  return {.table = kHandoversTable, .partition = pool.str(), .key = std::to_string(part)};
}
RowKey MaintenanceWaveKey(int64_t wave) {
  return {.table = "upkeep", .partition = "upkeep", .key = std::to_string(wave)};
}

std::optional<JobId> CancelledJob(std::string_view key) {
  if (!key.ends_with(kCancelSuffix)) return std::nullopt;
  return JobId(key.substr(0, key.size() - kCancelSuffix.size()));
}

RowKey EntryKey(const EntryId& entry) {
  return {.table = kEntriesTable, .partition = kEntriesTable, .key = entry.str()};
}

RowKey GrantsKey(const PoolName& pool) {
  return {.table = kQuotasTable,
          .partition = kQuotasTable,
          .key = std::string(kGrantsPrefix) + pool.str()};
}

// Sorted before the rows of the pools, so that a read of several pages that returns a version of
// this row also returns all rows that were added up to then.
RowKey GrantMembersKey() {
  return {.table = kQuotasTable, .partition = kQuotasTable, .key = std::string(kGrantMembers)};
}

std::optional<PoolName> GrantsPool(std::string_view key) {
  if (!key.starts_with(kGrantsPrefix)) return std::nullopt;
  return PoolName(key.substr(kGrantsPrefix.size()));
}

RowKey DemandKey(const PoolName& pool) {
  return {.table = kDemandTable, .partition = kDemandTable, .key = pool.str()};
}

std::string EncodeOwner(const OwnerRecord& record) {
  bj::object encoded{
      {"holder", record.holder}, {"incarnation", record.incarnation}, {"commit", record.commit}};
  if (!record.relay_key.empty()) encoded["key"] = record.relay_key;
  if (!record.address.empty()) encoded["address"] = record.address;
  if (record.loading) encoded["loading"] = true;
  if (!record.successor.empty()) encoded["successor"] = record.successor.str();
  if (record.ordered_instances) {
    bj::array instances;
    for (const InstanceId& id : *record.ordered_instances) instances.emplace_back(id.str());
    encoded["ordered"] = std::move(instances);
  }
  if (record.jobs_clock_ms) encoded["jobs_ms"] = *record.jobs_clock_ms;
  return bj::serialize(encoded);
}

RetVal<OwnerRecord> DecodeOwner(std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  OwnerRecord record{.holder = reader.Text("holder"),
                     .incarnation = reader.Text("incarnation"),
                     .commit = reader.Integer("commit"),
                     .relay_key = reader.Text("key"),
                     .address = reader.Text("address"),
                     .loading = reader.Boolean("loading"),
                     .successor = EntryId(reader.Text("successor"))};
  if (const bj::array* instances = reader.Array("ordered")) {
    record.ordered_instances.emplace();
    for (const bj::value& id : *instances) record.ordered_instances->emplace_back(json::AsText(id));
  }
  if (reader.Find("jobs_ms")) record.jobs_clock_ms = reader.Integer("jobs_ms");
  if (!reader.ok()) return reader.ret();
  return record;
}

std::string EncodeEntry(const EntryRecord& entry) {
  return bj::serialize(bj::object{{"address", entry.address},
                                  {"key", entry.public_key},
                                  {"cores", entry.cores},
                                  {"link_mbps", entry.link_mbps}});
}

RetVal<EntryRecord> DecodeEntry(const EntryId& entry, std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  EntryRecord record{.entry = entry,
                     .address = reader.Text("address"),
                     .public_key = reader.Text("key"),
                     .cores = reader.Number("cores"),
                     .link_mbps = reader.Number("link_mbps")};
  if (!reader.ok()) return reader.ret();
  return record;
}

std::string EncodeJob(const JobDefinition& job) {
  bj::array steps;
  for (const StepSpec& step : job.steps) steps.push_back(EncodeStep(step));
  bj::object encoded{{"queue", job.queue.str()},
                     {"payload", job.payload},
                     {"accepted", job.accepted_unix_ms},
                     {"policy", EncodePolicy(job.accepted_policy)},
                     {"steps", std::move(steps)}};
  if (job.schedule.occurrences > 0) {
    encoded["first_due"] = job.schedule.first_due_unix_ms;
    encoded["interval"] = job.schedule.interval_ms;
    encoded["times"] = job.schedule.occurrences;
  }
  if (!job.team.empty()) encoded["team"] = job.team.str();
  return bj::serialize(encoded);
}

RetVal<JobDefinition> DecodeJob(const JobId& id, std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  JobDefinition job{.id = id,
                    .queue = QueueName(reader.Text("queue")),
                    .team = TeamName(reader.Text("team")),
                    .payload = reader.Text("payload"),
                    .accepted_unix_ms = reader.Integer("accepted", json::kClockRange)};
  job.schedule = {.first_due_unix_ms = reader.Integer("first_due", json::kClockRange),
                  .interval_ms = ToMilliseconds(reader.Interval("interval")),
                  .occurrences = reader.Count("times")};
  if (const bj::value* policy = reader.Find("policy")) {
    job.accepted_policy = DecodePolicy(*policy, job.queue);
  }
  std::string error;
  if (const bj::array* steps = reader.Array("steps")) {
    for (const bj::value& step : *steps) job.steps.push_back(DecodeStep(step, error));
  }
  if (!reader.ok()) return reader.ret();
  if (!error.empty()) return Ret(ErrorCode::kInvalidArgument, error);
  if (Ret valid = scheduling::Validate(job); !valid.ok()) return valid;
  return job;
}

std::string EncodeProgress(const JobProgress& progress, size_t further_rows) {
  bj::object encoded{{"state", static_cast<int>(progress.state)}};
  if (further_rows > 0) encoded["further"] = further_rows;
  if (!progress.team.empty()) encoded["team"] = progress.team.str();
  if (progress.finished_occurrences > 0) encoded["finished"] = progress.finished_occurrences;
  bj::array occurrences;
  for (const JobProgress::Occurrence& occurrence : progress.occurrences) {
    bj::array steps;
    for (const std::string& marks : occurrence.steps) steps.emplace_back(marks);
    occurrences.push_back(bj::object{{"k", occurrence.number}, {"steps", std::move(steps)}});
  }
  if (!occurrences.empty()) encoded["occurrences"] = std::move(occurrences);
  bj::array checkpoints;
  for (const JobProgress::Checkpoint& checkpoint : progress.checkpoints) {
    checkpoints.push_back(
        bj::array{checkpoint.occurrence, checkpoint.step, checkpoint.index, checkpoint.value});
  }
  if (!checkpoints.empty()) encoded["checkpoints"] = std::move(checkpoints);
  bj::array failed_runs;
  for (const JobProgress::FailedRun& failed : progress.failed_runs) {
    failed_runs.push_back(bj::array{failed.occurrence, failed.step, failed.index, failed.run});
  }
  if (!failed_runs.empty()) encoded["failed"] = std::move(failed_runs);
  return bj::serialize(encoded);
}

RetVal<JobProgress> DecodeProgress(std::string_view text, size_t* further_rows) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  const int64_t state = reader.Integer("state", -1);
  if (state < 0 || state > static_cast<int64_t>(JobState::kCancelled)) {
    return Ret(ErrorCode::kInvalidArgument, "unknown job state");
  }
  JobProgress progress{.state = static_cast<JobState>(state),
                       .team = TeamName(reader.Text("team")),
                       .finished_occurrences = reader.Count("finished")};
  if (further_rows) *further_rows = static_cast<size_t>(reader.Count("further"));
  if (const bj::array* occurrences = reader.Array("occurrences")) {
    for (const bj::value& item : *occurrences) {
      json::ObjectReader occurrence(item);
      JobProgress::Occurrence record{.number = occurrence.Count("k")};
      if (const bj::array* steps = occurrence.Array("steps")) {
        for (const bj::value& marks : *steps) record.steps.emplace_back(json::AsText(marks));
      }
      if (!occurrence.ok()) return occurrence.ret();
      progress.occurrences.push_back(std::move(record));
    }
  }
  if (const bj::array* checkpoints = reader.Array("checkpoints")) {
    for (const bj::value& item : *checkpoints) {
      const bj::array* row = item.if_array();
      if (!row || row->size() != 4) continue;
      const auto number = [row](size_t i) { return json::AsCount((*row)[i]); };
      progress.checkpoints.push_back({.occurrence = number(0),
                                      .step = number(1),
                                      .index = number(2),
                                      .value = std::string(json::AsText((*row)[3]))});
    }
  }
  if (const bj::array* failed_runs = reader.Array("failed")) {
    for (const bj::value& item : *failed_runs) {
      const bj::array* row = item.if_array();
      if (!row || row->size() != 4) continue;
      const auto number = [row](size_t i) { return json::AsCount((*row)[i]); };
      progress.failed_runs.push_back({.occurrence = number(0),
                                      .step = number(1),
                                      .index = number(2),
                                      .run = json::AsInteger((*row)[3]).value_or(0)});
    }
  }
  if (!reader.ok()) return reader.ret();
  return progress;
}

std::string EncodeLink(const LinkRecord& link) {
  bj::object row{
      {"address", link.address}, {"born", link.incarnation_unix_ms}, {"end", link.applied_end}};
  if (link.restarted) row["restarted"] = true;
  return bj::serialize(row);
}

RetVal<LinkRecord> DecodeLink(const scheduling::ExecutorId& id, std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  LinkRecord link{.executor = id,
                  .address = reader.Text("address"),
                  .incarnation_unix_ms = reader.Integer("born", json::kClockRange),
                  .applied_end = reader.Integer("end"),
                  .restarted = reader.Boolean("restarted")};
  if (!reader.ok()) return reader.ret();
  return link;
}

std::string EncodeQueue(const QueueSummary& queue) {
  return bj::serialize(bj::object{{"pending", queue.pending}});
}

RetVal<QueueSummary> DecodeQueue(const QueueName& name, std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  QueueSummary queue{.queue = name, .pending = reader.Integer("pending")};
  if (!reader.ok()) return reader.ret();
  return queue;
}

std::string EncodeDemand(const scheduling::PoolDemand& demand) {
  bj::object departing;
  for (const auto& [pool, count] : demand.departing) departing[pool.str()] = count;
  return bj::serialize(bj::object{{"standby", demand.standby},
                                  {"instances", demand.instances},
                                  {"movable", demand.movable},
                                  {"cores", demand.cores_per_instance},
                                  {"wanted", demand.wanted_cores},
                                  {"least", demand.min_instances},
                                  {"departing", std::move(departing)},
                                  {"surges", demand.surges},
                                  {"predecessor", demand.pattern.predecessor.str()},
                                  {"lag_ms", ToMilliseconds(demand.pattern.lag)},
                                  {"surge_cores", demand.pattern.cores}});
}

RetVal<scheduling::PoolDemand> DecodeDemand(const PoolName& pool, std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  scheduling::PoolDemand demand{.pool = pool,
                                .standby = reader.Boolean("standby"),
                                .instances = reader.Count("instances"),
                                .movable = reader.Count("movable"),
                                .cores_per_instance = reader.Number("cores"),
                                .wanted_cores = reader.Number("wanted"),
                                .min_instances = reader.Count("least"),
                                .surges = reader.Count("surges")};
  demand.pattern = {.predecessor = PoolName(reader.Text("predecessor")),
                    .lag = reader.Interval("lag_ms"),
                    .cores = reader.Number("surge_cores")};
  if (const bj::value* departing = reader.Find("departing"); departing && departing->is_object()) {
    for (const auto& [to, count] : departing->get_object()) {
      demand.departing[PoolName(std::string_view(to.data(), to.size()))] = json::AsCount(count);
    }
  }
  if (!reader.ok()) return reader.ret();
  return demand;
}

}  // namespace citronferry::fleet
