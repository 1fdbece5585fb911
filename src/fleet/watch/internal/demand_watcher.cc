#include "fleet/change_feed.h"
#include "fleet/tables.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// A surge lasts some seconds, so the owners of other pools have to know a pool's demand well within
// one second.
constexpr Duration kPollInterval = 120ms;

class DemandWatcher : public Service {
 public:
  explicit DemandWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      if (m_context.owned_pools == 0) {
        m_feed.Restart();
        co_await SleepFor(m_context.timers, kPollInterval, &m_stop);
        continue;
      }
      const auto changes = co_await m_feed.Next();
      if (changes.ok()) Apply(changes->changed);
      const Duration pause = changes.ok() ? kPollInterval : m_feed.retry_delay();
      co_await SleepFor(m_context.timers, pause, &m_stop);
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
  ChangeFeed<RowChanges> m_feed =
      MakeTableFeed(m_context.platform.rows, kDemandTable, {kDemandTable}, Duration::zero());
  StopSignal m_stop;
};

}  // namespace

ChildSpec MakeDemandWatcher(FleetContext& context) {
  return {.name = "demand_watcher",
          .factory = [&context] { return std::make_unique<DemandWatcher>(context); }};
}

}  // namespace citronferry::fleet
