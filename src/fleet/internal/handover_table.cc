// Encoding of the rows in the table `handovers`.
#include <algorithm>
#include <utility>

#include "fleet/tables.h"
#include "json/reader.h"

namespace citronferry::fleet {
namespace {

namespace bj = boost::json;

// A row has at most 64 KB, in the store's base64.
constexpr size_t kMaxHandoverRowBytes = 40'000;

// Bits of the flags of a run in a handover.
constexpr int64_t kConfirmed = 1;
constexpr int64_t kListed = 2;
constexpr int64_t kCopyOutstanding = 4;

bj::array EncodeHandedOverRun(const scheduling::HandedOverRun& run) {
  const int64_t flags = (run.confirmed ? kConfirmed : 0) | (run.listed ? kListed : 0) |
                        (run.copy_outstanding ? kCopyOutstanding : 0);
  return {run.task.job.str(), run.task.occurrence, run.task.step, run.task.index, run.run, flags};
}

std::optional<scheduling::HandedOverRun> DecodeHandedOverRun(const bj::value& value) {
  const bj::array* row = value.if_array();
  if (!row || row->size() != 6) return std::nullopt;
  const auto flags = json::AsInteger((*row)[5]);
  const auto run = json::AsInteger((*row)[4]);
  if (!flags || !run) return std::nullopt;
  return scheduling::HandedOverRun{.task = {.job = JobId(json::AsText((*row)[0])),
                                            .occurrence = json::AsCount((*row)[1]),
                                            .step = json::AsCount((*row)[2]),
                                            .index = json::AsCount((*row)[3])},
                                   .run = *run,
                                   .confirmed = (*flags & kConfirmed) != 0,
                                   .listed = (*flags & kListed) != 0,
                                   .copy_outstanding = (*flags & kCopyOutstanding) != 0};
}

std::string EncodeHandedOverExecutor(const scheduling::HandedOverExecutor& executor) {
  bj::array runs;
  for (const scheduling::HandedOverRun& run : executor.runs) {
    runs.push_back(EncodeHandedOverRun(run));
  }
  return bj::serialize(bj::object{{"id", executor.executor.str()},
                                  {"born", executor.incarnation_unix_ms},
                                  {"lease_ms", ToMilliseconds(executor.lease_left)},
                                  {"unresolved", executor.unresolved},
                                  {"runs", std::move(runs)}});
}

RetVal<scheduling::HandedOverExecutor> DecodeHandedOverExecutor(const bj::value& value) {
  json::ObjectReader reader(value);
  for (const char* name : {"id", "lease_ms", "runs"}) reader.Require(name);
  scheduling::HandedOverExecutor executor{
      .executor = scheduling::ExecutorId(reader.Text("id")),
      .incarnation_unix_ms = reader.Integer("born", json::kClockRange),
      .lease_left = reader.Interval("lease_ms"),
      .unresolved = reader.Boolean("unresolved")};
  const bj::array* runs = reader.Array("runs");
  if (!reader.ok()) return reader.ret();
  for (const bj::value& item : *runs) {
    auto run = DecodeHandedOverRun(item);
    if (!run) return Ret(ErrorCode::kInvalidArgument, "a run is malformed");
    executor.runs.push_back(std::move(*run));
  }
  return executor;
}

// Decodes one row into the record. Returns the number of rows that the handover has.
RetVal<int> DecodeHandoverRow(std::string_view text, HandoverRecord& record) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  for (const char* name : {"rows", "executors"}) reader.Require(name);
  const int rows = reader.Count("rows");
  const bj::array* executors = reader.Array("executors");
  const bj::array* maintenance = reader.Array("maintenance");
  if (!reader.ok()) return reader.ret();
  for (const bj::value& item : *executors) {
    auto executor = DecodeHandedOverExecutor(item);
    if (!executor.ok()) return executor.ret();
    record.pool.executors.push_back(std::move(executor).value());
  }
  if (!maintenance) return rows;
  for (const bj::value& item : *maintenance) {
    json::ObjectReader entry(item);
    record.maintenance.push_back({.wave = entry.Integer("wave"),
                                  .instance = InstanceId(entry.Text("instance")),
                                  .executor = scheduling::ExecutorId(entry.Text("executor"))});
    if (!entry.ok()) return entry.ret();
  }
  return rows;
}

}  // namespace

std::vector<std::string> EncodeHandover(const HandoverRecord& record) {
  std::vector<std::string> lists{std::string()};
  for (const scheduling::HandedOverExecutor& executor : record.pool.executors) {
    const std::string encoded = EncodeHandedOverExecutor(executor);
    if (!lists.back().empty() && lists.back().size() + encoded.size() > kMaxHandoverRowBytes) {
      lists.emplace_back();
    }
    if (!lists.back().empty()) lists.back() += ',';
    lists.back() += encoded;
  }
  const bool fits = lists.size() <= kMaxHandoverRows &&
                    std::all_of(lists.begin(), lists.end(), [](const std::string& list) {
                      return list.size() <= kMaxHandoverRowBytes;
                    });
  if (!fits) return {};
  bj::array maintenance;
  for (const OrderedMaintenance& ordered : record.maintenance) {
    maintenance.push_back(bj::object{{"wave", ordered.wave},
                                     {"instance", ordered.instance.str()},
                                     {"executor", ordered.executor.str()}});
  }
  std::vector<std::string> rows;
  for (const std::string& list : lists) {
    rows.push_back("{\"rows\":" + std::to_string(lists.size()) + ",\"executors\":[" + list + "]");
    if (rows.size() == 1) rows.back() += ",\"maintenance\":" + bj::serialize(maintenance);
    rows.back() += '}';
  }
  return rows;
}

RetVal<HandoverRecord> DecodeHandover(std::span<const Row> rows, int64_t version) {
  HandoverRecord record;
  int found = 0;
  int expected = 1;
  for (const Row& row : rows) {
    if (row.version != version) continue;
    const auto count = DecodeHandoverRow(row.value, record);
    if (!count.ok()) return count.ret();
    expected = count.value();
    ++found;
  }
  if (found != expected) return Ret(ErrorCode::kNotFound, "no complete handover");
  return record;
}

}  // namespace citronferry::fleet
