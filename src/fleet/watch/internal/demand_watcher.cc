#include "fleet/backoff.h"
#include "fleet/tables.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// A surge lasts some seconds, so a pool's need has to be known to the others well within one.
constexpr Duration kPollInterval = 120ms;
constexpr Duration kLongestRetry = 1s;

class DemandWatcher : public Service {
 public:
  explicit DemandWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    RowStore& rows = m_context.backends.rows;
    Backoff backoff(kPollInterval, kLongestRetry);
    bool whole = true;
    int64_t version = 0;
    while (!m_stop.requested()) {
      if (m_context.owned_pools == 0) {
        whole = true;
        co_await SleepFor(m_context.timers, kPollInterval, &m_stop);
        continue;
      }
      Ret ret;
      if (whole) {
        const auto range = co_await ReadPartition(rows, kDemandTable, kDemandTable);
        ret = range.ret();
        if (range.ok()) {
          version = range->version;
          Apply(range->rows);
        }
      } else {
        const auto changes = co_await rows.Follow(kDemandTable, version, Duration::zero());
        ret = changes.ret();
        if (changes.ok()) {
          version = changes->version;
          Apply(changes->changed);
        }
      }
      whole = ret.code() == ErrorCode::kNotFound || (whole && !ret.ok());
      if (ret.ok()) backoff.Reset();
      co_await SleepFor(m_context.timers, ret.ok() ? kPollInterval : backoff.Next(), &m_stop);
    }
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  void Apply(std::span<const Row> rows) {
    if (rows.empty()) return;
    auto demands = m_context.demands.Get();
    for (const Row& row : rows) {
      const PoolName pool(row.key.key);
      auto demand = DecodeDemand(pool, row.value);
      if (demand.ok()) {
        demands.insert_or_assign(pool, std::move(demand).value());
      } else {
        Log(LogLevel::kError, "demand_unreadable",
            {{"pool", row.key.key}, {"error", demand.ret().message()}});
      }
    }
    m_context.demands.Set(std::move(demands));
  }

  FleetContext& m_context;
  StopSignal m_stop;
};

}  // namespace

ChildSpec MakeDemandWatcher(FleetContext& context) {
  return {.name = "demand_watcher",
          .factory = [&context] { return std::make_unique<DemandWatcher>(context); }};
}

}  // namespace citronferry::fleet
