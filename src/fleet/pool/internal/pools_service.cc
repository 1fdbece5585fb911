#include "fleet/pool/pools_service.h"

#include <memory>
#include <set>

#include "fleet/pool/internal/owner_elector.h"
#include "supervision/task_scope.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

constexpr Duration kCheckInterval = 100ms;
constexpr Duration kRestartDelay = 500ms;
constexpr Duration kStopDeadline = 3s;

// The electors are tasks of a scope rather than supervised children, since the pools come from the
// configuration, which can change. A failed elector is restarted on its own.
class PoolsService : public Service {
 public:
  explicit PoolsService(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested() && !m_context.draining) {
      for (const Pool& pool : m_context.configuration.Get().pools) {
        if (!m_started_pools.insert(pool.name).second) continue;
        m_tasks.Spawn([this, name = pool.name]() -> QCoro::Task<void> { return RunElector(name); });
      }
      co_await SleepFor(m_context.timers, kCheckInterval, &m_stop);
    }
    m_electors_stop.Request();
    const Ret joined = co_await m_tasks.Join(m_context.timers, kStopDeadline);
    // A draining entry releases its pools at once, but keeps serving clients until it is stopped.
    while (!m_stop.requested()) co_await SleepFor(m_context.timers, kCheckInterval, &m_stop);
    co_return joined;
  }

  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<void> RunElector(PoolName pool) {
    while (!m_electors_stop.requested()) {
      OwnerElector elector(m_context, pool, m_electors_stop);
      const Ret ret = co_await elector.Run();
      if (ret.ok() || m_electors_stop.requested()) continue;
      Log(LogLevel::kError, "pool_keeper_failed",
          {{"pool", pool.view()}, {"error", ret.message()}});
      co_await SleepFor(m_context.timers, kRestartDelay, &m_electors_stop);
    }
  }

  FleetContext& m_context;
  StopSignal m_stop;
  StopSignal m_electors_stop;
  std::set<PoolName> m_started_pools;
  TaskScope m_tasks;
};

}  // namespace

ChildSpec MakePoolsService(FleetContext& context) {
  return {.name = "pools",
          .factory = [&context] { return std::make_unique<PoolsService>(context); }};
}

}  // namespace citronferry::fleet
