#include "fleet/pool/internal/instance_mover.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::ExecutorState;
using scheduling::PoolDemand;

constexpr Duration kLoopInterval = 60ms;
// The demand changes all the time; only differences that can cause a move are published.
constexpr double kPublishThreshold = 0.5;  // Of the cores of an instance.
constexpr Duration kPublishInterval = 120ms;
constexpr Duration kPublishTimeout = 1s;
// From the order of a move until the receiving pool counts the instance among its own.
constexpr Duration kTransitTime = 2700ms;
constexpr Duration kMaxListAge = 1500ms;

}  // namespace

InstanceMover::InstanceMover(PoolOwner& owner, InstanceDirectory& directory,
                             std::function<bool(const InstanceId&)> busy)
    : m_owner(owner),
      m_context(owner.context()),
      m_directory(directory),
      m_is_reserved(std::move(busy)),
      m_first_order_at(owner.context().timers.Now() +
                       owner.context().options.holder_change_interval) {}

void InstanceMover::ObserveArrival(double core_seconds) {
  m_forecast.ObserveArrival(core_seconds, m_context.timers.Now());
}

void InstanceMover::ObservePeerDemands() {
  const auto& demands = m_context.demands.Get();
  if (!std::exchange(m_forecast_restored, true)) {
    const auto own = demands.find(m_owner.pool());
    if (own != demands.end()) m_forecast.Restore(own->second.pattern, own->second.surges);
  }
  for (const auto& [pool, demand] : demands) {
    if (pool == m_owner.pool()) continue;
    const auto known = m_peer_surges.find(pool);
    if (known != m_peer_surges.end() && demand.surges > known->second) {
      m_forecast.ObservePeerSurge(pool, m_context.timers.Now());
    }
    m_peer_surges[pool] = demand.surges;
  }
}

bool InstanceMover::IsIdle(const scheduling::ExecutorId& id) const {
  const ExecutorState* executor = m_owner.scheduler().FindExecutor(id);
  if (!executor || !executor->listed || executor->info.leaving || executor->cordoned) return false;
  return executor->responding && executor->IsEmpty();
}

std::vector<const Instance*> InstanceMover::Movable() const {
  std::vector<const Instance*> movable;
  const Pool* pool = m_context.configuration.Get().FindPool(m_owner.pool());
  // Only instances of a standby pool are off; in other pools an instance without an executor is
  // still starting.
  const bool standby = pool && pool->standby;
  for (const Instance& instance : m_directory.instances()) {
    if (instance.pool != m_owner.pool() || instance.state != InstanceState::kUp) continue;
    if (m_departures.contains(instance.id) || m_is_reserved(instance.id)) continue;
    if (!m_owner.HasSettled(instance)) continue;
    if (!m_directory.MayOrder(instance.id, m_owner.pool(), InstanceOrderKind::kMove)) continue;
    if (standby || IsIdle(instance.executor)) movable.push_back(&instance);
  }
  return movable;
}

PoolDemand InstanceMover::ComputeDemand() {
  const TimePoint now = m_context.timers.Now();
  const Pool* pool = m_context.configuration.Get().FindPool(m_owner.pool());
  PoolDemand demand{.pool = m_owner.pool(), .standby = pool && pool->standby};
  double capacity = 0;
  double used = 0;
  for (const auto& [id, executor] : m_owner.scheduler().executors()) {
    if (!executor.listed || executor.info.leaving || executor.cordoned) continue;
    ++demand.instances;
    capacity += scheduling::Cores(executor.info.capacity);
    used += scheduling::Cores(executor.used);
    if (IsIdle(id) && m_owner.HasSettled({.executor = id})) ++demand.movable;
  }
  m_forecast.Update(capacity, now);
  if (demand.standby) {
    demand.movable = demand.instances = static_cast<int>(Movable().size());
  } else if (demand.instances > 0) {
    demand.cores_per_instance = std::round(capacity / demand.instances);
  }
  const double long_running = m_owner.scheduler().long_running_cores();
  demand.wanted_cores = std::max(used + m_owner.scheduler().waiting_cores(),
                                 long_running + m_forecast.ExpectedCores(now));
  std::erase_if(m_departures, [&](const auto& entry) {
    return !entry.second.uncertain && now - entry.second.ordered_at > kTransitTime;
  });
  for (const auto& [instance, departure] : m_departures) {
    if (now - departure.ordered_at <= kTransitTime) ++demand.departing[departure.to];
  }
  demand.min_instances = m_owner.scheduler().min_executors_for_long_running();
  demand.surges = m_forecast.surges();
  if (m_forecast.pattern()) demand.pattern = *m_forecast.pattern();
  return demand;
}

QCoro::Task<void> InstanceMover::Publish(PoolDemand demand) {
  const TimePoint now = m_context.timers.Now();
  if (m_published) {
    PoolDemand rounded = demand;
    const double step = std::max(1.0, kPublishThreshold * demand.cores_per_instance);
    if (std::abs(demand.wanted_cores - m_published->wanted_cores) < step) {
      rounded.wanted_cores = m_published->wanted_cores;
    }
    if (rounded == *m_published || now - m_published_at < kPublishInterval) co_return;
  }
  Transaction transaction{.puts = {{.key = DemandKey(demand.pool), .value = EncodeDemand(demand)}}};
  const TransactionResult result =
      co_await m_context.platform.rows.Transact(std::move(transaction), kPublishTimeout);
  if (result.outcome != TransactionOutcome::kApplied) co_return;
  m_published = std::move(demand);
  m_published_at = now;
}

QCoro::Task<void> InstanceMover::MoveInstance(InstanceId instance, scheduling::ExecutorId executor,
                                              PoolName to) {
  const InstanceOrderKind kind = InstanceOrderKind::kMove;
  if (!m_owner.may_order() || !m_directory.MayOrder(instance, m_owner.pool(), kind)) co_return;
  // Keeps the scheduler from placing new tasks on the executor during the call.
  m_owner.scheduler().SetCordoned(executor, true);
  m_departures[instance] = {.to = to, .ordered_at = m_context.timers.Now(), .uncertain = true};
  const OrderAnnouncement announcement(m_directory, instance);
  const bool announced = co_await m_owner.AnnounceOrder(announcement, kind);
  // Its maintenance may have begun meanwhile.
  if (!announced || m_is_reserved(instance)) {
    m_departures.erase(instance);
    if (!m_is_reserved(instance)) m_owner.scheduler().SetCordoned(executor, false);
    co_return;
  }
  m_departures[instance] = {.to = to, .ordered_at = m_context.timers.Now()};
  const OrderIssuer issuer{
      .holder = m_context.options.name,
      .fencing_token = m_directory.BeginOrder(instance, kind, m_owner.newest_version())};
  const InstanceOrderOutcome outcome =
      co_await m_context.platform.instances.Move(instance, to, issuer);
  m_directory.EndOrder(instance, outcome);
  m_directory.Invalidate();
  Log(LogLevel::kInfo, "instance_moved",
      {{"pool", m_owner.pool().view()},
       {"to", to.view()},
       {"instance", instance.view()},
       {"executor", executor.view()},
       {"token", issuer.fencing_token},
       {"outcome", static_cast<int>(outcome)}});
  if (outcome == InstanceOrderOutcome::kAccepted) {
    m_owner.scheduler().OnExecutorGone(executor, m_context.timers.Now());
    co_return;
  }
  if (outcome == InstanceOrderOutcome::kUnknown) {
    // The order may still take effect; the executor is used again if it still exists after that.
    m_departures[instance].uncertain = true;
    co_await SleepFor(m_context.timers, kLateOrderWindow, &m_owner.ended());
  }
  m_departures.erase(instance);
  // Its maintenance may have begun as soon as the order could no longer take effect.
  if (!m_is_reserved(instance)) m_owner.scheduler().SetCordoned(executor, false);
}

QCoro::Task<void> InstanceMover::ExecuteMoves() {
  std::vector<PoolDemand> demands;
  for (const auto& [pool, demand] : m_context.demands.Get()) {
    if (pool != m_owner.pool()) demands.push_back(demand);
  }
  demands.push_back(ComputeDemand());
  for (const scheduling::PlannedMove& move : scheduling::PlanMoves(demands)) {
    if (move.from != m_owner.pool()) continue;
    co_await m_directory.Refresh(kMaxListAge);
    std::vector<std::pair<InstanceId, scheduling::ExecutorId>> chosen;
    for (const Instance* instance : Movable()) {
      if (static_cast<int>(chosen.size()) < move.count) {
        chosen.emplace_back(instance->id, instance->executor);
      }
    }
    if (static_cast<int>(chosen.size()) < move.count) m_directory.Invalidate();
    for (const auto& [instance, executor] : chosen) {
      if (m_owner.ended().requested()) co_return;
      if (!executor.empty() && !IsIdle(executor)) continue;
      m_owner.Spawn(
          [this, instance = instance, executor = executor, to = move.to]() -> QCoro::Task<void> {
            return MoveInstance(instance, executor, to);
          });
    }
  }
}

QCoro::Task<void> InstanceMover::Run() {
  StopSignal& ended = m_owner.ended();
  while (!ended.requested()) {
    co_await SleepFor(m_context.timers, kLoopInterval, &ended);
    if (ended.requested()) co_return;
    ObservePeerDemands();
    const Pool* pool = m_context.configuration.Get().FindPool(m_owner.pool());
    if (pool && pool->standby) co_await m_directory.Refresh(kMaxListAge);
    co_await Publish(ComputeDemand());
    if (m_context.timers.Now() >= m_first_order_at && m_owner.may_order()) co_await ExecuteMoves();
  }
}

}  // namespace citronferry::fleet
