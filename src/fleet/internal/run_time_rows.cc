#include "fleet/run_time_rows.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>
#include <utility>

#include "json/reader.h"

namespace citronferry::fleet {
namespace {

using runtimes::Distribution;
using runtimes::ExecutorSpeeds;
using runtimes::RunTimes;
namespace bj = boost::json;

constexpr int64_t kVersion = 1;
// Logarithms and means are stored in units of 1/10,000, weights in units of 1/16.
constexpr double kFraction = 10'000;
constexpr double kWeightFraction = 16;
constexpr size_t kKindRows = kMaxRunTimeRows - 1;
// Room for the version, the time and the names of the lists.
constexpr size_t kFrameBytes = 100;
constexpr size_t kDistributionHead = 3;
constexpr size_t kKindMembers = 5;
constexpr size_t kExecutorMembers = 7;

int64_t Rounded(double value, double fraction) { return std::llround(value * fraction); }

bj::array EncodeDistribution(const Distribution& distribution) {
  const Distribution::Contents contents = distribution.contents();
  bj::array encoded{Rounded(contents.mean, kFraction), Rounded(contents.log_mean, kFraction),
                    Rounded(contents.log_variance, kFraction)};
  for (size_t i = 0; i < contents.bins.size(); ++i) {
    const int64_t weight = Rounded(contents.bins[i], kWeightFraction);
    if (weight <= 0) continue;
    encoded.emplace_back(i);
    encoded.emplace_back(weight);
  }
  return encoded;
}

std::optional<Distribution> DecodeDistribution(const bj::value& value) {
  if (!value.is_array()) return std::nullopt;
  const bj::array& encoded = value.get_array();
  if (encoded.size() < kDistributionHead || (encoded.size() - kDistributionHead) % 2 != 0) {
    return std::nullopt;
  }
  const bool whole = std::all_of(encoded.begin(), encoded.end(), [](const bj::value& number) {
    return json::AsInteger(number).has_value();
  });
  if (!whole) return std::nullopt;
  const auto number = [&](size_t i) { return *json::AsInteger(encoded[i]); };
  const auto fraction = [&](size_t i) { return static_cast<double>(number(i)) / kFraction; };
  Distribution::Contents contents{
      .mean = fraction(0), .log_mean = fraction(1), .log_variance = fraction(2)};
  for (size_t i = kDistributionHead; i < encoded.size(); i += 2) {
    const int64_t bin = number(i);
    if (bin < 0 || bin >= static_cast<int64_t>(Distribution::kBins)) return std::nullopt;
    contents.bins[static_cast<size_t>(bin)] =
        static_cast<float>(static_cast<double>(number(i + 1)) / kWeightFraction);
  }
  return Distribution::Restore(contents);
}

std::string EncodeKind(const RunTimes::Record& record) {
  return bj::serialize(bj::array{record.queue, record.image, record.size,
                                 EncodeDistribution(record.times),
                                 EncodeDistribution(record.ratios)});
}

std::optional<RunTimes::Record> DecodeKind(const bj::value& value) {
  if (!value.is_array() || value.get_array().size() != kKindMembers) return std::nullopt;
  const bj::array& encoded = value.get_array();
  const auto size = json::AsInteger(encoded[2]);
  auto times = DecodeDistribution(encoded[3]);
  auto ratios = DecodeDistribution(encoded[4]);
  if (!encoded[0].is_string() || !encoded[1].is_string() || !size || *size < -1 || *size > 64 ||
      !times || !ratios) {
    return std::nullopt;
  }
  return RunTimes::Record{.queue = std::string(json::AsText(encoded[0])),
                          .image = std::string(json::AsText(encoded[1])),
                          .size = static_cast<int>(*size),
                          .times = *times,
                          .ratios = *ratios};
}

std::string EncodeExecutor(const ExecutorSpeeds::Record& record) {
  return bj::serialize(bj::array{record.executor, record.rack, Rounded(record.log_ratio, kFraction),
                                 Rounded(record.variance, kFraction),
                                 Rounded(record.weight, kWeightFraction), record.jobs,
                                 record.slow ? 1 : 0});
}

std::optional<ExecutorSpeeds::Record> DecodeExecutor(const bj::value& value) {
  if (!value.is_array() || value.get_array().size() != kExecutorMembers) return std::nullopt;
  const bj::array& encoded = value.get_array();
  const bool whole = std::all_of(encoded.begin() + 2, encoded.end(), [](const bj::value& number) {
    return json::AsInteger(number).has_value();
  });
  if (!encoded[0].is_string() || !encoded[1].is_string() || !whole) return std::nullopt;
  const auto number = [&](size_t i) { return static_cast<double>(*json::AsInteger(encoded[i])); };
  return ExecutorSpeeds::Record{.executor = std::string(json::AsText(encoded[0])),
                                .rack = std::string(json::AsText(encoded[1])),
                                .log_ratio = number(2) / kFraction,
                                .variance = number(3) / kFraction,
                                .weight = number(4) / kWeightFraction,
                                .jobs = json::AsCount(encoded[5]),
                                .slow = number(6) != 0};
}

// Joins as many items as fit in one row.
// @param next index of the first item; set to that of the first one that does not fit.
std::string JoinItems(std::span<const std::string> items, size_t& next) {
  std::string joined;
  for (; next < items.size(); ++next) {
    if (joined.size() + items[next].size() + 1 + kFrameBytes > kMaxRunTimeRowBytes) break;
    if (!joined.empty()) joined += ',';
    joined += items[next];
  }
  return joined;
}

std::string MakeRow(std::string_view list, std::string_view items, int64_t unix_ms) {
  std::string row = "{\"v\":" + std::to_string(kVersion) + ",\"at\":" + std::to_string(unix_ms);
  return row.append(",\"").append(list).append("\":[").append(items).append("]}");
}

}  // namespace

RowKey RunTimesKey(const PoolName& pool, size_t number) {
  return {.table = kRunTimesTable, .partition = pool.str(), .key = std::to_string(number)};
}

std::vector<std::string> EncodeRunTimes(const RunTimes::State& state, int64_t unix_ms) {
  std::vector<ExecutorSpeeds::Record> executors = state.executors;
  std::stable_sort(executors.begin(), executors.end(),
                   [](const auto& a, const auto& b) { return a.slow && !b.slow; });
  std::vector<std::string> items;
  items.reserve(executors.size());
  for (const ExecutorSpeeds::Record& record : executors) items.push_back(EncodeExecutor(record));
  size_t next = 0;
  std::vector<std::string> rows{MakeRow("executors", JoinItems(items, next), unix_ms)};
  items.clear();
  for (const RunTimes::Record& record : state.records) {
    std::string item = EncodeKind(record);
    // One that fits no row must not keep out the following ones.
    if (item.size() + kFrameBytes < kMaxRunTimeRowBytes) items.push_back(std::move(item));
  }
  next = 0;
  while (next < items.size() && rows.size() <= kKindRows) {
    rows.push_back(MakeRow("kinds", JoinItems(items, next), unix_ms));
  }
  return rows;
}

RetVal<RunTimeRow> DecodeRunTimes(std::string_view text) {
  if (text.size() > kMaxRunTimeRowBytes) {
    return Ret(ErrorCode::kInvalidArgument, "too large: " + std::to_string(text.size()) + " bytes");
  }
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  const int64_t version = reader.Integer("v");
  RunTimeRow row{.state = {}, .written_unix_ms = reader.Integer("at", json::kClockRange)};
  if (!reader.ok()) return reader.ret();
  if (version != kVersion) {
    return Ret(ErrorCode::kInvalidArgument, "version " + std::to_string(version) + " is unknown");
  }
  if (const bj::array* kinds = reader.Array("kinds")) {
    for (const bj::value& item : *kinds) {
      auto record = DecodeKind(item);
      if (!record) return Ret(ErrorCode::kInvalidArgument, "a kind of task is damaged");
      row.state.records.push_back(std::move(*record));
    }
  }
  if (const bj::array* executors = reader.Array("executors")) {
    for (const bj::value& item : *executors) {
      auto record = DecodeExecutor(item);
      if (!record) return Ret(ErrorCode::kInvalidArgument, "an executor is damaged");
      row.state.executors.push_back(std::move(*record));
    }
  }
  if (!reader.ok()) return reader.ret();
  return row;
}

}  // namespace citronferry::fleet
