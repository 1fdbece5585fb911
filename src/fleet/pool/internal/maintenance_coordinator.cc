#include "fleet/pool/internal/maintenance_coordinator.h"

#include <algorithm>
#include <utility>

#include "fleet/pool/internal/pool_owner.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::ExecutorState;

constexpr Duration kLoopInterval = 100ms;
constexpr Duration kIdleInterval = 250ms;
// Reading the list of instances is charged; it shows when instances are back in service.
constexpr Duration kListInterval = 700ms;
constexpr Duration kCheckInterval = 1500ms;
// A list that is read this long after an order shows its effect: maintenance takes seconds.
constexpr Duration kUnchangedAfter = 1s;
// A long-running task may be away for some seconds, of which the maintenance takes two.
constexpr Duration kMaxBlocked = 2s;
// Where a drain is not possible, it is tried again after this time; tasks come and go in seconds.
constexpr Duration kPostponement = 1s;
constexpr Duration kPostponementAfterDrain = 5s;

}  // namespace

MaintenanceCoordinator::MaintenanceCoordinator(PoolOwner& owner, InstanceDirectory& directory)
    : m_owner(owner),
      m_context(owner.context()),
      m_directory(directory),
      m_slots(owner.context()),
      m_first_order_at(owner.context().timers.Now() +
                       owner.context().options.holder_change_interval) {}

QCoro::Task<void> MaintenanceCoordinator::Run() {
  StopSignal& ended = m_owner.ended();
  while (!ended.requested()) {
    AddNewWaves();
    const bool may_give_orders = m_context.timers.Now() >= m_first_order_at;
    const bool has_work = !m_operations.empty() || (!m_waves.empty() && may_give_orders);
    if (!has_work || !m_owner.may_order()) {
      co_await SleepFor(m_context.timers, kIdleInterval, &ended);
      continue;
    }
    co_await Refresh();
    if (ended.requested()) co_return;
    for (auto& [number, open] : m_waves) {
      if (may_give_orders && open.progress_loaded && m_directory.loaded()) StartDrains(open);
    }
    std::vector<InstanceId> in_progress;
    for (const auto& [instance, operation] : m_operations) in_progress.push_back(instance);
    for (const InstanceId& instance : in_progress) {
      if (m_operations.at(instance).phase == Phase::kOrdered) {
        co_await FinishReturned(instance);
      } else {
        co_await Advance(instance);
      }
      if (ended.requested()) co_return;
    }
    co_await FinishWaves();
    co_await SleepFor(m_context.timers, kLoopInterval, &ended);
  }
}

std::vector<OrderedMaintenance> MaintenanceCoordinator::ordered() const {
  std::vector<OrderedMaintenance> ordered;
  for (const auto& [instance, operation] : m_operations) {
    if (operation.phase != Phase::kOrdered) continue;
    ordered.push_back(
        {.wave = operation.wave, .instance = instance, .executor = operation.executor});
  }
  return ordered;
}

void MaintenanceCoordinator::Resume(std::span<const OrderedMaintenance> maintenance) {
  for (const OrderedMaintenance& ordered : maintenance) {
    m_operations.emplace(ordered.instance, Operation{.wave = ordered.wave,
                                                     .executor = ordered.executor,
                                                     .phase = Phase::kOrdered,
                                                     .slot_acquired = true,
                                                     .ordered_at = m_context.timers.Now()});
  }
}

void MaintenanceCoordinator::AddNewWaves() {
  for (const auto& [number, wave] : m_context.waves.Get()) {
    if (m_finished_waves.contains(number) || m_waves.contains(number)) continue;
    m_waves.emplace(number, OpenWave{.wave = wave, .first_seen = m_context.timers.Now()});
  }
}

QCoro::Task<void> MaintenanceCoordinator::Refresh() {
  const TimePoint now = m_context.timers.Now();
  co_await m_directory.Refresh(kListInterval);
  for (auto& [number, open] : m_waves) {
    if (open.progress_loaded && now - open.checked_at < kCheckInterval) continue;
    auto progress = co_await m_slots.Read(number);
    if (!progress.ok()) continue;
    if (!open.progress_loaded && progress->version == 0) {
      static_cast<void>(co_await m_context.platform.announcements.PublishWave(number, false));
    }
    open.progress = std::move(progress).value();
    open.progress_loaded = true;
    open.checked_at = now;
  }
}

void MaintenanceCoordinator::StartDrains(OpenWave& open) {
  const TimePoint now = m_context.timers.Now();
  scheduling::MaintenanceState state{
      .max_at_once = open.wave.max_at_once,
      .time_left = open.wave.time_left_at_start - (now - open.first_seen)};
  state.load.waiting = m_owner.scheduler().waiting_cores();
  for (const auto& [id, executor] : m_owner.scheduler().executors()) {
    if (!executor.Usable(now)) continue;
    state.load.capacity += scheduling::Cores(executor.info.capacity);
    state.load.used += scheduling::Cores(executor.used);
  }
  state.out_of_service = static_cast<int>(m_operations.size());
  std::vector<scheduling::MaintenanceCandidate> candidates;
  for (const InstanceId& id : open.wave.instances) {
    const Instance* instance = m_directory.Find(id);
    if (!instance || instance->pool != m_owner.pool() || open.progress.done.contains(id)) continue;
    ++state.due_instances;
    if (m_operations.contains(id) || instance->state != InstanceState::kUp) continue;
    if (!m_owner.HasSettled(*instance)) continue;
    const auto postponed = m_postponed.find(id);
    if (postponed != m_postponed.end() && now < postponed->second) continue;
    if (!m_directory.MayOrder(id, m_owner.pool(), InstanceOrderKind::kMaintenance)) continue;
    // An instance that is off has no executor, so there is nothing to drain.
    if (instance->executor.empty()) {
      if (static_cast<int>(m_operations.size()) >= open.wave.max_at_once) continue;
      m_operations.emplace(
          id, Operation{.wave = open.wave.number, .slot_acquired = open.progress.out.contains(id)});
      ++state.out_of_service;
      continue;
    }
    const ExecutorState* executor = m_owner.scheduler().FindExecutor(instance->executor);
    if (!executor || executor->info.leaving || !executor->listed) continue;
    // A previous owner acquired the slot for this instance, so its maintenance is continued.
    if (open.progress.out.contains(id)) {
      m_operations.emplace(
          id, Operation{
                  .wave = open.wave.number, .executor = instance->executor, .slot_acquired = true});
      m_owner.scheduler().SetCordoned(instance->executor, true);
      continue;
    }
    candidates.push_back({.instance = id,
                          .cores = scheduling::Cores(executor->info.capacity),
                          .used_cores = scheduling::Cores(executor->used),
                          .long_running_tasks = executor->long_running_tasks()});
  }
  for (const InstanceId& id : ChooseForMaintenance(candidates, state)) {
    const scheduling::ExecutorId executor = m_directory.Find(id)->executor;
    if (!CanDrain(open.wave.number, id, executor)) continue;
    Log(LogLevel::kInfo, "maintenance_drain",
        {{"pool", m_owner.pool().view()},
         {"wave", open.wave.number},
         {"instance", id.view()},
         {"executor", executor.view()},
         {"used_cores", state.load.used},
         {"waiting_cores", state.load.waiting},
         {"time_left_s", ToSeconds(state.time_left)}});
    m_operations.emplace(id, Operation{.wave = open.wave.number, .executor = executor});
    m_owner.scheduler().SetCordoned(executor, true);
  }
}

bool MaintenanceCoordinator::CanDrain(int64_t wave, const InstanceId& instance,
                                      const scheduling::ExecutorId& executor) {
  const TimePoint now = m_context.timers.Now();
  const scheduling::DrainPlan plan = m_owner.scheduler().PlanDrain(executor, now);
  if (plan.feasible) {
    m_postponed.erase(instance);
    return true;
  }
  const bool first = m_postponed.insert_or_assign(instance, now + kPostponement).second;
  if (first) {
    Log(LogLevel::kInfo, "maintenance_postponed",
        {{"pool", m_owner.pool().view()},
         {"wave", wave},
         {"instance", instance.view()},
         {"executor", executor.view()},
         {"movable_tasks", plan.moves.size()},
         {"tasks_without_room", plan.pauses.size()}});
  }
  return false;
}

bool MaintenanceCoordinator::UpdateBlocked(Operation& operation,
                                           const scheduling::DrainPlan& plan) const {
  const TimePoint now = m_context.timers.Now();
  if (plan.feasible) {
    operation.blocked_since.reset();
  } else if (!operation.blocked_since) {
    operation.blocked_since = now;
  }
  return operation.blocked_since && now - *operation.blocked_since >= kMaxBlocked;
}

bool MaintenanceCoordinator::IsBack(const Operation& operation, const Instance& instance) const {
  if (instance.state != InstanceState::kUp || m_directory.read_at() <= operation.ordered_at) {
    return false;
  }
  // An instance that is off has no executor after its maintenance either.
  if (operation.executor.empty()) return true;
  if (instance.executor.empty()) return false;
  // An order for maintenance that had been done before is accepted too, and changes nothing.
  return instance.executor != operation.executor ||
         m_directory.read_at() - operation.ordered_at >= kUnchangedAfter;
}

QCoro::Task<void> MaintenanceCoordinator::FinishReturned(InstanceId instance) {
  const Operation operation = m_operations.at(instance);
  const Instance* listed = m_directory.Find(instance);
  if (listed && !IsBack(operation, *listed)) co_return;
  const scheduling::ExecutorId executor = listed ? listed->executor : scheduling::ExecutorId();
  const Ret released = co_await m_slots.Release(operation.wave, instance, true);
  if (!released.ok()) co_return;
  Log(LogLevel::kInfo, "maintenance_done",
      {{"pool", m_owner.pool().view()},
       {"wave", operation.wave},
       {"instance", instance.view()},
       {"executor", executor.view()},
       {"previous_executor", operation.executor.view()}});
  const auto open = m_waves.find(operation.wave);
  if (open != m_waves.end()) open->second.progress.done.insert(instance);
  m_operations.erase(instance);
  if (!executor.empty()) m_owner.Readmit(executor);
}

QCoro::Task<void> MaintenanceCoordinator::GiveUp(InstanceId instance, bool done) {
  m_operations.at(instance).given_up = true;
  const Operation operation = m_operations.at(instance);
  m_owner.scheduler().SetCordoned(operation.executor, false);
  m_owner.ProcessUpdates();
  if (operation.slot_acquired) {
    const Ret released = co_await m_slots.Release(operation.wave, instance, done);
    if (!released.ok()) co_return;
  }
  Log(LogLevel::kInfo, "maintenance_given_up",
      {{"pool", m_owner.pool().view()},
       {"wave", operation.wave},
       {"instance", instance.view()},
       {"executor", operation.executor.view()},
       {"blocked", operation.blocked_since.has_value()}});
  m_operations.erase(instance);
}

QCoro::Task<void> MaintenanceCoordinator::Advance(InstanceId instance) {
  if (m_context.timers.Now() < m_first_order_at) co_return;
  Operation& operation = m_operations.at(instance);
  const Instance* listed = m_directory.Find(instance);
  const bool elsewhere = listed && listed->pool != m_owner.pool();
  const bool switched_on = listed && operation.executor.empty() && !listed->executor.empty();
  if (!listed || elsewhere || switched_on || operation.given_up) {
    co_await GiveUp(instance, !listed);
    co_return;
  }
  if (operation.executor.empty()) {
    co_await OrderMaintenance(instance);
    co_return;
  }
  const ExecutorState* executor = m_owner.scheduler().FindExecutor(operation.executor);
  if (!executor || !executor->listed || executor->info.leaving) {
    // An order without a response may be why it has gone, or may still be carried out.
    const bool in_maintenance = listed->state == InstanceState::kInMaintenance;
    if (in_maintenance || m_directory.HasUnansweredOrder(instance)) co_return;
    // The executor has crashed or is leaving; the next one on this instance is drained again.
    if (operation.slot_acquired) {
      static_cast<void>(co_await m_slots.Release(operation.wave, instance, false));
    }
    m_operations.erase(instance);
    co_return;
  }
  const TimePoint now = m_context.timers.Now();
  scheduling::DrainPlan plan = m_owner.scheduler().PlanDrain(operation.executor, now);
  // An order without a response may still end what runs on the instance.
  if (UpdateBlocked(operation, plan) && !m_directory.HasUnansweredOrder(instance)) {
    m_postponed[instance] = now + kPostponementAfterDrain;
    co_await GiveUp(instance, false);
    co_return;
  }
  if (!executor->runs.empty()) {
    co_await StopLongRunningTasks(instance, std::move(plan));
    co_return;
  }
  if (!executor->responding || !executor->IsEmpty()) co_return;
  co_await OrderMaintenance(instance);
}

QCoro::Task<void> MaintenanceCoordinator::StopLongRunningTasks(InstanceId instance,
                                                               scheduling::DrainPlan plan) {
  const scheduling::ExecutorId id = m_operations.at(instance).executor;
  scheduling::PoolScheduler& scheduler = m_owner.scheduler();
  const auto only_pauses_left = [&] {
    const ExecutorState* executor = scheduler.FindExecutor(id);
    return executor && executor->responding && plan.feasible &&
           plan.pauses.size() == executor->runs.size();
  };
  if (!only_pauses_left()) {
    scheduler.EvictLongRunningTasks(id, m_context.timers.Now());
    m_owner.ProcessUpdates();
    co_return;
  }
  // The order has to follow at once, so that the tasks are not away for longer than it takes.
  const InstanceOrderKind kind = InstanceOrderKind::kMaintenance;
  if (!m_directory.MayOrder(instance, m_owner.pool(), kind)) co_return;
  const bool acquired = co_await AcquireSlot(instance);
  if (!acquired) co_return;
  plan = scheduler.PlanDrain(id, m_context.timers.Now());
  if (!only_pauses_left()) co_return;
  for (const scheduling::StopOrder& stop : plan.pauses) {
    scheduler.StopRun(stop, m_context.timers.Now());
  }
  m_owner.ProcessUpdates();
}

QCoro::Task<bool> MaintenanceCoordinator::AcquireSlot(InstanceId instance) {
  const Operation& operation = m_operations.at(instance);
  if (operation.slot_acquired) co_return true;
  const int max_at_once = m_waves.at(operation.wave).wave.max_at_once;
  const Ret acquired = co_await m_slots.Acquire(operation.wave, max_at_once, instance);
  if (!acquired.ok() || m_owner.ended().requested()) co_return false;
  m_operations.at(instance).slot_acquired = true;
  co_return true;
}

QCoro::Task<void> MaintenanceCoordinator::OrderMaintenance(InstanceId instance) {
  Operation& operation = m_operations.at(instance);
  const int64_t wave = operation.wave;
  const InstanceOrderKind kind = InstanceOrderKind::kMaintenance;
  if (!m_directory.MayOrder(instance, m_owner.pool(), kind)) co_return;
  const bool acquired = co_await AcquireSlot(instance);
  if (!acquired) co_return;
  const OrderAnnouncement announcement(m_directory, instance);
  const bool announced = co_await m_owner.AnnounceOrder(announcement, kind);
  if (!announced) co_return;
  const OrderIssuer issuer{
      .holder = m_context.options.name,
      .fencing_token = m_directory.BeginOrder(instance, kind, m_owner.newest_version())};
  const InstanceOrderOutcome outcome =
      co_await m_context.platform.instances.StartMaintenance(instance, wave, issuer);
  m_directory.EndOrder(instance, outcome);
  Log(LogLevel::kInfo, "maintenance_ordered",
      {{"pool", m_owner.pool().view()},
       {"wave", wave},
       {"instance", instance.view()},
       {"executor", operation.executor.view()},
       {"token", issuer.fencing_token},
       {"outcome", static_cast<int>(outcome)}});
  switch (outcome) {
    case InstanceOrderOutcome::kAccepted:
      operation.phase = Phase::kOrdered;
      operation.ordered_at = m_context.timers.Now();
      m_owner.scheduler().OnExecutorGone(operation.executor, m_context.timers.Now());
      m_directory.Invalidate();
      co_return;
    case InstanceOrderOutcome::kThrottled:
    case InstanceOrderOutcome::kUnknown:
    case InstanceOrderOutcome::kFenced:
    case InstanceOrderOutcome::kBusy:
      // Retried when MayOrder allows it; an order that took effect is accepted again.
      co_return;
    case InstanceOrderOutcome::kRefused:
      static_cast<void>(co_await m_slots.Release(wave, instance, true));
      m_owner.scheduler().SetCordoned(operation.executor, false);
      m_operations.erase(instance);
      co_return;
  }
}

QCoro::Task<void> MaintenanceCoordinator::FinishWaves() {
  for (auto entry = m_waves.begin(); entry != m_waves.end();) {
    OpenWave& open = entry->second;
    // An operation on an instance that is no longer listed has to end first.
    const bool in_progress = std::any_of(
        m_operations.begin(), m_operations.end(),
        [&](const auto& operation) { return operation.second.wave == open.wave.number; });
    const bool all_done =
        !in_progress && open.progress_loaded && m_directory.loaded() &&
        std::all_of(open.wave.instances.begin(), open.wave.instances.end(),
                    [&](const InstanceId& id) {
                      return open.progress.done.contains(id) || !m_directory.Find(id);
                    });
    if (!all_done) {
      ++entry;
      continue;
    }
    const Ret published =
        co_await m_context.platform.announcements.PublishWave(open.wave.number, true);
    if (!published.ok()) {
      ++entry;
      continue;
    }
    Log(LogLevel::kInfo, "wave_completed", {{"wave", open.wave.number}});
    m_finished_waves.insert(open.wave.number);
    entry = m_waves.erase(entry);
  }
}

}  // namespace citronferry::fleet
