#include "node/planner/internal/fleet_planner.h"

#include <algorithm>
#include <array>
#include <optional>

namespace citronferry::node {
namespace {

/// A pool that no service uses declares no budget; its instances are maintained one at a time.
constexpr int kUnusedPoolMaxUnavailable = 1;

maintenance::PoolPlan MakePoolPlan(const document::Document& document, const document::Pool& pool) {
  // Indexed by document::WaveOrder.
  static constexpr std::array<maintenance::Order, 3> kOrders{
      maintenance::Order::kRackByRack, maintenance::Order::kSpread,
      maintenance::Order::kLongestSinceMaintenance};
  std::optional<int> unavailable;
  std::optional<int> planned;
  for (const document::Service& service : document.services) {
    if (service.pool != pool.name) continue;
    unavailable = std::min(unavailable.value_or(service.max_unavailable), service.max_unavailable);
    const int result = service.max_unavailable - service.reserve;
    planned = std::min(planned.value_or(result), result);
  }
  maintenance::PoolPlan plan{.name = pool.name,
                             .max_unavailable = unavailable.value_or(kUnusedPoolMaxUnavailable),
                             .max_planned = planned.value_or(kUnusedPoolMaxUnavailable)};
  for (const document::Wave& wave : document.waves) {
    if (std::find(wave.pools.begin(), wave.pools.end(), pool.name) == wave.pools.end()) continue;
    plan.waves.push_back({.name = wave.name,
                          .order = kOrders[static_cast<size_t>(wave.order)],
                          .instance_timeout = wave.instance_timeout,
                          .maintenance_time = wave.maintenance_time > Duration::zero()
                                                  ? wave.maintenance_time
                                                  : wave.instance_timeout,
                          .window = {.start = wave.start, .end = wave.end},
                          .every = wave.every,
                          .generation = wave.generation});
  }
  return plan;
}

}  // namespace

std::vector<InstanceId> FleetPlanner::Observe(const document::Document& document, uint64_t version,
                                              TimePoint now) {
  ownership::DocumentObserved assignment{.version = version};
  maintenance::PlanObserved plan{.version = version};
  std::vector<InstanceId> conflicts;
  for (const document::Pool& pool : document.pools) {
    assignment.pools[pool.name] = {.spare = pool.spare, .min_instances = pool.min_instances};
    plan.pools.push_back(MakePoolPlan(document, pool));
    for (const InstanceId& id : pool.instances) {
      const auto [home, inserted] = assignment.homes.emplace(id, pool.name);
      if (!inserted && home->second != pool.name) conflicts.push_back(id);
    }
  }
  m_ownership.Handle(assignment, now);
  m_maintenance.Handle(plan, now);
  return conflicts;
}

void FleetPlanner::Observe(std::span<const provider::InstanceInfo> list, TimePoint read_started,
                           TimePoint now) {
  ownership::InstanceListObserved observed{.read_started = read_started};
  for (auto& [id, location] : m_locations) location.live = false;
  for (const provider::InstanceInfo& info : list) {
    const bool live = info.state == provider::InstanceState::kLive;
    observed.instances.push_back({.id = info.id, .live = live});
    m_locations[info.id] = {.rack = info.rack, .data_centre = info.data_centre, .live = live};
  }
  m_list_read = read_started;
  m_ownership.Handle(observed, now);
}

PlanningStep FleetPlanner::Step(uint64_t epoch, int64_t wall_seconds, TimePoint now) {
  PlanningStep step;
  maintenance::Tick tick{.epoch = epoch, .wall_seconds = wall_seconds};
  m_ownership.Handle(CollectReservations(), now);
  for (ownership::Action& action : m_ownership.Handle(ownership::Tick{.epoch = epoch}, now)) {
    if (auto* higher = std::get_if<ownership::ReportHigherEpoch>(&action)) {
      return {.higher_epoch = higher->epoch};
    }
    if (auto* move = std::get_if<ownership::RequestMove>(&action)) {
      tick.moves.push_back({.instance = move->id, .source = move->source, .target = move->target});
    } else if (auto* write = std::get_if<ownership::WriteInstance>(&action)) {
      step.actions.emplace_back(std::move(*write));
    } else if (auto* reboot = std::get_if<ownership::RebootInstance>(&action)) {
      step.actions.emplace_back(std::move(*reboot));
    }
  }
  m_maintenance.Handle(CollectFleet(), now);
  for (maintenance::Action& action : m_maintenance.Handle(tick, now)) {
    if (auto* higher = std::get_if<maintenance::ReportHigherEpoch>(&action)) {
      return {.higher_epoch = higher->epoch};
    }
    if (auto* write = std::get_if<maintenance::WritePool>(&action)) {
      step.actions.emplace_back(std::move(*write));
    } else if (auto* failed = std::get_if<maintenance::ReportFailed>(&action)) {
      step.actions.emplace_back(std::move(*failed));
    }
  }
  return step;
}

ownership::ReservationsObserved FleetPlanner::CollectReservations() const {
  ownership::ReservationsObserved observed;
  for (const auto& [pool, row] : m_maintenance.rows()) {
    for (const maintenance::OutOfServiceInstance& out : row.out) {
      // The row of the previous pool may still list an instance that has moved to another pool.
      const auto stored = m_ownership.rows().find(out.instance);
      if (stored == m_ownership.rows().end() || stored->second.row.pool != pool) continue;
      observed.reservations[out.instance] = {
          .row_version = out.row_version,
          .target = out.target,
          .failed = out.reason == maintenance::OutOfServiceReason::kFailed};
    }
  }
  return observed;
}

maintenance::FleetObserved FleetPlanner::CollectFleet() const {
  maintenance::FleetObserved fleet{.list_read = m_list_read};
  fleet.instances.reserve(m_ownership.rows().size());
  for (const auto& [id, stored] : m_ownership.rows()) {
    if (!m_ownership.homes().contains(id)) continue;
    const auto location = m_locations.find(id);
    maintenance::Instance instance{.id = id,
                                   .pool = stored.row.pool,
                                   .row_version = stored.version,
                                   .serving = stored.row.state == ownership::RowState::kServing,
                                   .detached = stored.row.state == ownership::RowState::kDetached};
    if (location != m_locations.end()) {
      instance.rack = location->second.rack;
      instance.data_centre = location->second.data_centre;
      instance.live = location->second.live;
    }
    fleet.instances.push_back(std::move(instance));
  }
  return fleet;
}

}  // namespace citronferry::node
