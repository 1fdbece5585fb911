#include "decisions/maintenance/maintenance_planner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "decisions/maintenance/order.h"

namespace citronferry::maintenance {
namespace {

/// With an older list, recent failures are not known, so nothing is taken out of service.
constexpr Duration kMaxListAge = 5s;
/// With this many instances of a rack unavailable and unplanned, the rack counts as failed.
constexpr int kRackFailureThreshold = 2;

bool Contains(const std::vector<InstanceId>& ids, const InstanceId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// @return the instances by their last maintenance, those of the finished wave at the end.
std::vector<InstanceId> MaintenanceOrder(const PoolRow& row) {
  std::vector<InstanceId> order;
  const std::set<InstanceId> done(row.done.begin(), row.done.end());
  std::copy_if(row.previous.begin(), row.previous.end(), std::back_inserter(order),
               [&](const InstanceId& id) { return !done.contains(id); });
  order.insert(order.end(), row.done.begin(), row.done.end());
  return order;
}

void EndWave(PoolRow& row) {
  row.previous = MaintenanceOrder(row);
  row.done.clear();
  row.wave.clear();
  row.generation = 0;
  // Instances that are still out of service do not count for the next wave, which has to maintain
  // them again.
  for (OutOfServiceInstance& out : row.out) out.generation = 0;
}

/// Removes completed waves whose period is over, so that they start again.
void ResetDueWaves(PoolRow& row, const std::vector<Wave>& waves, int64_t wall_seconds) {
  for (const Wave& wave : waves) {
    if (!row.completed.contains(wave.name)) continue;
    // Rows written before this time was recorded have none; their period starts now.
    int64_t& since = row.completed_at.try_emplace(wave.name, wall_seconds).first->second;
    // If the wall clock was ahead when the wave was completed, the next wave must not be delayed.
    since = std::min(since, wall_seconds);
    if (std::chrono::seconds(wall_seconds - since) < wave.every) continue;
    row.completed.erase(wave.name);
    row.completed_at.erase(wave.name);
  }
}

}  // namespace

std::vector<Action> MaintenancePlanner::Handle(const Event& event, TimePoint now) {
  using Handler = void (MaintenancePlanner::*)(const Event&);
  // In the order of the alternatives of Event.
  static constexpr std::array<Handler, std::variant_size_v<Event>> kHandlers{
      &MaintenancePlanner::OnPlanObserved, &MaintenancePlanner::OnPoolObserved,
      &MaintenancePlanner::OnFleetObserved, &MaintenancePlanner::OnTick};
  m_now = now;
  (this->*kHandlers[event.index()])(event);
  return std::exchange(m_actions, {});
}

void MaintenancePlanner::OnPlanObserved(const Event& event) {
  const auto& plan = std::get<PlanObserved>(event);
  if (plan.version <= m_document) return;
  m_document = plan.version;
  m_plans = plan.pools;
}

void MaintenancePlanner::OnPoolObserved(const Event& event) {
  const auto& observed = std::get<PoolObserved>(event);
  uint64_t& version = m_versions[observed.pool];
  if (observed.version <= version) return;
  version = observed.version;
  if (observed.row) {
    m_rows[observed.pool] = *observed.row;
  } else {
    m_rows.erase(observed.pool);
  }
}

void MaintenancePlanner::OnFleetObserved(const Event& event) {
  const auto& fleet = std::get<FleetObserved>(event);
  m_fleet_known = true;
  m_list_read = fleet.list_read;
  m_instances = fleet.instances;
  std::sort(m_instances.begin(), m_instances.end(),
            [](const Instance& a, const Instance& b) { return a.id < b.id; });
  m_instances_by_pool.clear();
  for (const Instance& instance : m_instances)
    m_instances_by_pool[instance.pool].push_back(&instance);

  for (const Instance& instance : m_instances) {
    if (instance.detached) {
      m_detached_since.try_emplace(instance.id, m_now);
    } else {
      m_detached_since.erase(instance.id);
    }
  }
}

void MaintenancePlanner::OnTick(const Event& event) {
  const Tick& tick = std::get<Tick>(event);
  for (const auto& [pool, row] : m_rows) {
    if (row.epoch > tick.epoch) {
      m_actions.emplace_back(ReportHigherEpoch{.epoch = row.epoch});
      return;
    }
  }
  if (!m_fleet_known) return;
  CollectFailedRacks();
  CollectMovingPools();
  m_progress.clear();
  for (const PoolPlan& plan : m_plans) PlanPool(plan, tick);
  for (const auto& [pool, instances] : m_instances_by_pool) {
    // The document no longer declares the pool, but its instances still have to be moved out.
    const bool planned =
        std::any_of(m_plans.begin(), m_plans.end(),
                    [&name = pool](const PoolPlan& plan) { return plan.name == name; });
    if (!planned) PlanPool({.name = pool}, tick);
  }
}

void MaintenancePlanner::PlanPool(const PoolPlan& plan, const Tick& tick) {
  const auto stored = m_rows.find(plan.name);
  PoolUpdate update{.plan = plan};
  if (stored != m_rows.end()) update.row = stored->second;
  const auto instances = m_instances_by_pool.find(plan.name);
  if (instances != m_instances_by_pool.end()) update.instances = instances->second;
  update.progress.pool = plan.name;
  update.progress.instances = static_cast<int>(update.instances.size());

  UpdateOut(update);
  CountUnavailable(update);
  // False when another planner has already applied a newer document.
  const bool current = m_document >= update.row.document;
  if (current) {
    update.row.document = m_document;
    StartWave(update, tick);
  }
  // Until the row carries this planner's epoch, a previous planner that resumes can still write it.
  const bool fenced = stored != m_rows.end() && stored->second.epoch == tick.epoch;
  if (current && fenced && m_now - m_list_read <= kMaxListAge) {
    TakeOutForMoves(update, tick);
    TakeOutForWave(update, tick);
  }
  update.row.epoch = tick.epoch;
  update.progress.wave = update.row.wave;
  m_progress.push_back(std::move(update.progress));
  if (stored != m_rows.end() && update.row == stored->second) return;
  WritePool write{.pool = plan.name, .row = std::move(update.row)};
  if (stored != m_rows.end()) write.expected_version = m_versions[plan.name];
  m_actions.emplace_back(std::move(write));
}

void MaintenancePlanner::UpdateOut(PoolUpdate& update) {
  std::erase_if(update.row.out,
                [&](OutOfServiceInstance& out) { return UpdateOutInstance(update, out); });
}

bool MaintenancePlanner::UpdateOutInstance(PoolUpdate& update, OutOfServiceInstance& out) {
  const Instance* instance = FindInstance(out.instance);
  const bool back = instance && instance->serving && instance->row_version > out.row_version;
  if (instance && !back) {
    const auto detached = m_detached_since.find(out.instance);
    if (out.reason != OutOfServiceReason::kFailed && detached != m_detached_since.end() &&
        m_now - detached->second >= TimeoutOf(update.plan, update.row.wave)) {
      out.reason = OutOfServiceReason::kFailed;
      BlockRack(out.instance);
      m_actions.emplace_back(ReportFailed{.pool = update.plan.name, .instance = out.instance});
    }
    if (out.reason == OutOfServiceReason::kFailed) update.progress.failed.push_back(out.instance);
    return false;
  }
  const auto since = m_out_since.find(out.instance);
  if (since != m_out_since.end()) {
    if (back && out.reason == OutOfServiceReason::kWave)
      m_maintenance_time.Add(m_now - since->second);
    m_out_since.erase(since);
  }
  const bool maintained = back && out.generation > 0;
  if (maintained && !Contains(update.row.done, out.instance))
    update.row.done.push_back(out.instance);
  return true;
}

void MaintenancePlanner::CountUnavailable(PoolUpdate& update) {
  std::set<InstanceId> out;
  for (const OutOfServiceInstance& entry : update.row.out) {
    out.insert(entry.instance);
    if (entry.reason == OutOfServiceReason::kFailed) {
      ++update.progress.unplanned;
    } else {
      ++update.progress.planned;
    }
  }
  for (const Instance* instance : update.instances) {
    if (out.contains(instance->id) || (instance->live && instance->serving)) continue;
    ++update.progress.unplanned;
    if (!instance->rack.empty()) ++update.unplanned_by_rack[instance->rack];
  }
  update.progress.allowed = std::max(0, update.plan.max_planned - update.progress.unplanned);
}

void MaintenancePlanner::StartWave(PoolUpdate& update, const Tick& tick) {
  PoolRow& row = update.row;
  // Repeating a wave must not interrupt another one, whose progress would be lost.
  if (row.wave.empty()) ResetDueWaves(row, update.plan.waves, tick.wall_seconds);
  for (const Wave& wave : update.plan.waves) {
    const auto completed = row.completed.find(wave.name);
    if (completed != row.completed.end() && completed->second >= wave.generation) continue;
    // A planner with an older document must not start an earlier generation again.
    if (row.wave == wave.name && row.generation >= wave.generation) return;
    if (!row.wave.empty()) EndWave(row);
    row.wave = wave.name;
    row.generation = wave.generation;
    return;
  }
  if (!row.wave.empty()) EndWave(row);
}

void MaintenancePlanner::TakeOutForMoves(PoolUpdate& update, const Tick& tick) {
  for (const Move& move : tick.moves) {
    if (move.source != update.plan.name || update.RemainingBudget() < 1) continue;
    if (m_moving_pools.contains(move.source) || m_moving_pools.contains(move.target)) continue;
    const Instance* instance = FindInstance(move.instance);
    const bool ready = instance && instance->pool == move.source && instance->serving &&
                       instance->live &&
                       std::none_of(update.row.out.begin(), update.row.out.end(),
                                    [&](const auto& out) { return out.instance == move.instance; });
    if (!ready) continue;
    m_moving_pools.insert({move.source, move.target});
    TakeOutOfService(
        update, *instance,
        {.reason = OutOfServiceReason::kMove, .target = move.target, .since = tick.wall_seconds});
  }
}

void MaintenancePlanner::TakeOutForWave(PoolUpdate& update, const Tick& tick) {
  PoolRow& row = update.row;
  const auto wave =
      std::find_if(update.plan.waves.begin(), update.plan.waves.end(),
                   [&](const Wave& w) { return w.name == row.wave && !row.wave.empty(); });
  if (wave == update.plan.waves.end()) return;

  OrderContext context{.previous = row.previous};
  std::set<InstanceId> finished(row.done.begin(), row.done.end());
  for (const OutOfServiceInstance& out : row.out) {
    finished.insert(out.instance);
    const Instance* instance = FindInstance(out.instance);
    if (!instance) continue;
    ++context.out_by_rack[instance->rack];
    ++context.out_by_data_centre[instance->data_centre];
  }
  std::vector<const Instance*> candidates;
  for (const Instance* instance : update.instances) {
    if (!Contains(row.done, instance->id)) ++update.progress.remaining;
    const bool usable = instance->serving && instance->live && !finished.contains(instance->id);
    if (usable && !m_failed_racks.contains(instance->rack)) candidates.push_back(instance);
  }
  const int total = update.progress.instances;
  const Duration time = m_maintenance_time.Get(wave->maintenance_time);
  const Duration time_of_day = TimeOfDay(tick.wall_seconds);
  update.progress.lower_bound = RolloutTime(total, update.plan.max_planned, time);
  update.progress.estimate = RolloutTime(update.progress.remaining, update.progress.allowed, time,
                                         wave->window, time_of_day);

  // In a pool without instances, the instance rows were not created yet.
  if (update.progress.remaining == 0 && row.out.empty() && total > 0) {
    row.completed[wave->name] = row.generation;
    row.completed_at[wave->name] = tick.wall_seconds;
    EndWave(row);
    return;
  }
  if (!wave->window.Contains(time_of_day)) return;
  const bool rack_failed =
      std::any_of(update.unplanned_by_rack.begin(), update.unplanned_by_rack.end(),
                  [](const auto& rack) { return rack.second >= kRackFailureThreshold; });
  while (!rack_failed && update.RemainingBudget() > 0 && !candidates.empty()) {
    context.candidates = candidates;
    const Instance* next = ChooseNext(wave->order, context);
    std::erase(candidates, next);
    ++context.out_by_rack[next->rack];
    ++context.out_by_data_centre[next->data_centre];
    TakeOutOfService(update, *next,
                     {.reason = OutOfServiceReason::kWave,
                      .target = update.plan.name,
                      .generation = row.generation,
                      .since = tick.wall_seconds});
  }
}

void MaintenancePlanner::TakeOutOfService(PoolUpdate& update, const Instance& instance,
                                          OutOfServiceInstance out) {
  out.instance = instance.id;
  out.row_version = instance.row_version;
  m_out_since[instance.id] = m_now;
  update.row.out.push_back(std::move(out));
  ++update.progress.planned;
}

void MaintenancePlanner::BlockRack(const InstanceId& failed) {
  const Instance* instance = FindInstance(failed);
  if (instance && !instance->rack.empty()) m_failed_racks.insert(instance->rack);
}

void MaintenancePlanner::CollectFailedRacks() {
  m_failed_racks.clear();
  for (const auto& [pool, row] : m_rows) {
    for (const OutOfServiceInstance& out : row.out) {
      if (out.reason == OutOfServiceReason::kFailed) BlockRack(out.instance);
    }
  }
}

void MaintenancePlanner::CollectMovingPools() {
  m_moving_pools.clear();
  for (const auto& [pool, row] : m_rows) {
    for (const OutOfServiceInstance& out : row.out) {
      if (out.target != pool && out.reason != OutOfServiceReason::kFailed)
        m_moving_pools.insert({pool, out.target});
    }
  }
}

const Instance* MaintenancePlanner::FindInstance(const InstanceId& id) const {
  const auto found = std::lower_bound(
      m_instances.begin(), m_instances.end(), id,
      [](const Instance& instance, const InstanceId& key) { return instance.id < key; });
  return found == m_instances.end() || found->id != id ? nullptr : &*found;
}

Duration MaintenancePlanner::TimeoutOf(const PoolPlan& plan, const std::string& wave) const {
  for (const Wave& candidate : plan.waves) {
    if (candidate.name == wave) return candidate.instance_timeout;
  }
  return Wave{}.instance_timeout;
}

}  // namespace citronferry::maintenance
