#include "fleet/pool/internal/instance_duties.h"

#include <algorithm>
#include <utility>

#include "fleet/pool/internal/pool_owner.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::ExecutorState;

constexpr Duration kLoopInterval = 100ms;
constexpr Duration kIdleInterval = 250ms;
// The list is priced; while instances are out it tells when they are back.
constexpr Duration kListInterval = 700ms;
constexpr Duration kCheckInterval = 1500ms;

}  // namespace

InstanceDuties::InstanceDuties(PoolOwner& owner, InstanceDirectory& directory)
    : m_owner(owner),
      m_context(owner.context()),
      m_directory(directory),
      m_ledger(owner.context()),
      m_first_order_at(owner.context().timers.Now() + owner.context().options.duty_holder_gap) {}

QCoro::Task<void> InstanceDuties::Run() {
  StopSignal& ended = m_owner.ended();
  while (!ended.requested()) {
    NoteWaves();
    const TimePoint now = m_context.timers.Now();
    if (m_waves.empty() || now < m_first_order_at || !m_owner.may_order()) {
      co_await SleepFor(m_context.timers, kIdleInterval, &ended);
      continue;
    }
    co_await Refresh();
    if (ended.requested()) co_return;
    for (auto& [number, open] : m_waves) {
      if (open.read && m_directory.known()) ChooseNext(open);
    }
    std::vector<InstanceId> active;
    for (const auto& [instance, duty] : m_duties) active.push_back(instance);
    for (const InstanceId& instance : active) {
      co_await Advance(instance);
      if (ended.requested()) co_return;
    }
    co_await FinishWaves();
    co_await SleepFor(m_context.timers, kLoopInterval, &ended);
  }
}

void InstanceDuties::NoteWaves() {
  for (const auto& [number, wave] : m_context.waves.Get()) {
    if (m_finished_waves.contains(number) || m_waves.contains(number)) continue;
    m_waves.emplace(number, OpenWave{.wave = wave, .first_seen = m_context.timers.Now()});
  }
}

QCoro::Task<void> InstanceDuties::Refresh() {
  const TimePoint now = m_context.timers.Now();
  co_await m_directory.Refresh(kListInterval);
  for (auto& [number, open] : m_waves) {
    if (open.read && now - open.checked_at < kCheckInterval) continue;
    auto progress = co_await m_ledger.Read(number);
    if (!progress.ok()) continue;
    if (!open.read && progress->version == 0) {
      static_cast<void>(co_await m_context.backends.announcements.PublishWave(number, false));
    }
    open.progress = std::move(progress).value();
    open.read = true;
    open.checked_at = now;
  }
}

void InstanceDuties::ChooseNext(OpenWave& open) {
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
  state.out_of_service = static_cast<int>(m_duties.size());
  std::vector<scheduling::MaintenanceCandidate> candidates;
  for (const InstanceId& id : open.wave.instances) {
    const Instance* instance = m_directory.Find(id);
    if (!instance || instance->pool != m_owner.pool() || open.progress.done.contains(id)) continue;
    ++state.due_instances;
    if (m_duties.contains(id) || instance->state != InstanceState::kUp) continue;
    if (!m_owner.HasSettled(*instance)) continue;
    // An instance that is off has no executor and nothing to drain.
    if (instance->executor.empty()) {
      if (static_cast<int>(m_duties.size()) >= open.wave.max_at_once) continue;
      m_duties.emplace(
          id, Duty{.wave = open.wave.number, .place_taken = open.progress.out.contains(id)});
      ++state.out_of_service;
      continue;
    }
    const ExecutorState* executor = m_owner.scheduler().FindExecutor(instance->executor);
    if (!executor || executor->info.leaving || !executor->listed) continue;
    // A previous owner took its place already; it goes on with that instance.
    if (open.progress.out.contains(id)) {
      m_duties.emplace(
          id, Duty{.wave = open.wave.number, .executor = instance->executor, .place_taken = true});
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
    Log(LogLevel::kInfo, "maintenance_drain",
        {{"pool", m_owner.pool().view()},
         {"wave", open.wave.number},
         {"instance", id.view()},
         {"executor", executor.view()},
         {"used_cores", state.load.used},
         {"waiting_cores", state.load.waiting},
         {"time_left_s", ToSeconds(state.time_left)}});
    m_duties.emplace(id, Duty{.wave = open.wave.number, .executor = executor});
    m_owner.scheduler().SetCordoned(executor, true);
  }
}

QCoro::Task<void> InstanceDuties::Advance(InstanceId instance) {
  Duty& duty = m_duties.at(instance);
  const Instance* listed = m_directory.Find(instance);
  if (duty.phase == Phase::kOrdered) {
    // An instance that is off shows no executor after its maintenance either.
    const bool back = listed && listed->state == InstanceState::kUp &&
                      (duty.executor.empty() ||
                       (!listed->executor.empty() && listed->executor != duty.executor)) &&
                      m_directory.read_at() > duty.ordered_at;
    if (listed && !back) co_return;
    const int64_t wave = duty.wave;
    const Ret released = co_await m_ledger.Release(wave, instance, true);
    if (!released.ok()) co_return;
    Log(LogLevel::kInfo, "maintenance_done",
        {{"pool", m_owner.pool().view()}, {"wave", wave}, {"instance", instance.view()}});
    const auto open = m_waves.find(wave);
    if (open != m_waves.end()) open->second.progress.done.insert(instance);
    m_duties.erase(instance);
    co_return;
  }
  if (duty.executor.empty()) {
    co_await OrderMaintenance(instance);
    co_return;
  }
  const ExecutorState* executor = m_owner.scheduler().FindExecutor(duty.executor);
  if (!executor || !executor->listed || executor->info.leaving) {
    // It crashed or leaves; its next executor is drained anew.
    if (duty.place_taken) {
      static_cast<void>(co_await m_ledger.Release(duty.wave, instance, false));
    }
    m_duties.erase(instance);
    co_return;
  }
  if (!executor->runs.empty()) {
    m_owner.scheduler().EvictLongRunningTasks(duty.executor, m_context.timers.Now());
    m_owner.Pump();
    co_return;
  }
  if (!executor->responding) co_return;
  co_await OrderMaintenance(instance);
}

QCoro::Task<void> InstanceDuties::OrderMaintenance(InstanceId instance) {
  Duty& duty = m_duties.at(instance);
  const int64_t wave = duty.wave;
  if (!duty.place_taken) {
    const int max_at_once = m_waves.at(wave).wave.max_at_once;
    const Ret acquired = co_await m_ledger.Acquire(wave, max_at_once, instance);
    if (!acquired.ok() || m_owner.ended().requested()) co_return;
    duty.place_taken = true;
  }
  if (!m_owner.may_order()) co_return;
  const DutyAuthority authority{.holder = m_context.options.name,
                                .fencing_token = m_owner.newest_version()};
  const DutyOutcome outcome =
      co_await m_context.backends.instances.StartMaintenance(instance, wave, authority);
  Log(LogLevel::kInfo, "maintenance_ordered",
      {{"pool", m_owner.pool().view()},
       {"wave", wave},
       {"instance", instance.view()},
       {"executor", duty.executor.view()},
       {"token", authority.fencing_token},
       {"outcome", static_cast<int>(outcome)}});
  switch (outcome) {
    case DutyOutcome::kAccepted:
      duty.phase = Phase::kOrdered;
      duty.ordered_at = m_context.timers.Now();
      m_owner.scheduler().OnExecutorGone(duty.executor, m_context.timers.Now());
      m_directory.Expire();
      co_return;
    case DutyOutcome::kThrottled:
    case DutyOutcome::kUnknown:
    case DutyOutcome::kFenced:
    case DutyOutcome::kBusy:
      co_return;  // Asked again; an order that took effect is accepted again.
    case DutyOutcome::kRefused:
      static_cast<void>(co_await m_ledger.Release(wave, instance, true));
      m_owner.scheduler().SetCordoned(duty.executor, false);
      m_duties.erase(instance);
      co_return;
  }
}

QCoro::Task<void> InstanceDuties::FinishWaves() {
  for (auto entry = m_waves.begin(); entry != m_waves.end();) {
    OpenWave& open = entry->second;
    const bool all_done =
        open.read && m_directory.known() &&
        std::all_of(open.wave.instances.begin(), open.wave.instances.end(),
                    [&](const InstanceId& id) {
                      return open.progress.done.contains(id) || !m_directory.Find(id);
                    });
    if (!all_done) {
      ++entry;
      continue;
    }
    const Ret published =
        co_await m_context.backends.announcements.PublishWave(open.wave.number, true);
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
