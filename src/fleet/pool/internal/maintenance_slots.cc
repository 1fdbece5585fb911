#include "fleet/pool/internal/maintenance_slots.h"

#include <utility>

#include "fleet/backoff.h"
#include "fleet/tables.h"
#include "json/reader.h"

namespace citronferry::fleet {
namespace {

namespace bj = boost::json;

constexpr Duration kTimeout = 1s;
constexpr int kAttempts = 5;  // Owners of other pools may write at the same time.
constexpr Duration kInitialRetryDelay = 10ms;
constexpr Duration kMaxRetryDelay = 80ms;

bj::array EncodeSet(const std::set<InstanceId>& instances) {
  bj::array encoded;
  for (const InstanceId& instance : instances) encoded.emplace_back(instance.str());
  return encoded;
}

std::set<InstanceId> DecodeSet(const bj::array* values) {
  std::set<InstanceId> instances;
  if (!values) return instances;
  for (const bj::value& value : *values) instances.emplace(json::AsText(value));
  return instances;
}

}  // namespace

QCoro::Task<RetVal<WaveProgress>> MaintenanceSlots::Read(int64_t wave) {
  const RowKey key = MaintenanceWaveKey(wave);
  const auto range =
      co_await m_context.platform.rows.Read(key.table, key.partition, key.key, key.key + '\x01');
  if (!range.ok()) co_return range.ret();
  if (range->rows.empty()) co_return WaveProgress{};
  const auto value = json::Parse(range->rows.front().value);
  if (!value.ok()) co_return value.ret();
  json::ObjectReader reader(value.value());
  WaveProgress progress;
  progress.out = DecodeSet(reader.Array("out"));
  progress.done = DecodeSet(reader.Array("done"));
  progress.version = range->rows.front().version;
  if (!reader.ok()) co_return reader.ret();
  co_return progress;
}

QCoro::Task<Ret> MaintenanceSlots::Write(int64_t wave, const WaveProgress& progress) {
  const RowKey key = MaintenanceWaveKey(wave);
  const bj::object encoded{{"out", EncodeSet(progress.out)}, {"done", EncodeSet(progress.done)}};
  Transaction transaction{.conditions = {{.key = key, .version = progress.version}},
                          .puts = {{.key = key, .value = bj::serialize(encoded)}}};
  const TransactionResult result =
      co_await m_context.platform.rows.Transact(std::move(transaction), kTimeout);
  if (result.outcome == TransactionOutcome::kApplied) co_return MakeOk();
  if (result.outcome == TransactionOutcome::kConflict) {
    co_return Ret(ErrorCode::kConflict, "another owner changed the wave");
  }
  co_return Ret(ErrorCode::kUnavailable, result.error);
}

QCoro::Task<Ret> MaintenanceSlots::Change(int64_t wave,
                                          std::function<std::optional<Ret>(WaveProgress&)> change) {
  Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    auto progress = co_await Read(wave);
    if (!progress.ok()) co_return progress.ret();
    const std::optional<Ret> settled = change(progress.value());
    if (settled) co_return *settled;
    const Ret written = co_await Write(wave, progress.value());
    if (written.ok()) co_return written;
    co_await SleepFor(m_context.timers, backoff.Next());
  }
  co_return Ret(ErrorCode::kUnavailable, "the row of the wave could not be written");
}

QCoro::Task<Ret> MaintenanceSlots::Acquire(int64_t wave, int max_at_once, InstanceId instance) {
  return Change(wave, [max_at_once, instance](WaveProgress& progress) -> std::optional<Ret> {
    // The instance already has a slot if the response to an earlier write was lost.
    if (progress.out.contains(instance)) return MakeOk();
    if (static_cast<int>(progress.out.size()) >= max_at_once) {
      return Ret(ErrorCode::kResourceExhausted, "all slots of the wave are taken");
    }
    progress.out.insert(instance);
    return std::nullopt;
  });
}

QCoro::Task<Ret> MaintenanceSlots::Release(int64_t wave, InstanceId instance, bool done) {
  return Change(wave, [done, instance](WaveProgress& progress) -> std::optional<Ret> {
    if (!progress.out.contains(instance) && (!done || progress.done.contains(instance))) {
      return MakeOk();
    }
    progress.out.erase(instance);
    if (done) progress.done.insert(instance);
    return std::nullopt;
  });
}

}  // namespace citronferry::fleet
