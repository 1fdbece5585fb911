#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>

#include "node/planner/internal/fleet_planner.h"

namespace citronferry::node {
namespace {

constexpr Duration kMaintenanceTime = 3min;

/// Simulates a planner and pools of instances with four instances per rack. Every write and reboot
/// request succeeds; a rebooting instance is not listed for kMaintenanceTime.
class PlannerSimulation {
 public:
  PlannerSimulation(int instances, int pools, int max_unavailable, int reserve) {
    for (int p = 0; p < pools; ++p) {
      const std::string name = "p" + std::to_string(p);
      m_document.pools.push_back({.name = PoolName(name)});
      m_document.services.push_back({.name = ServiceName(name),
                                     .pool = PoolName(name),
                                     .max_unavailable = max_unavailable,
                                     .reserve = reserve});
    }
    m_instances.push_back({.id = InstanceId("e0"), .is_entry = true});
    for (int i = 0; i < instances; ++i) {
      const InstanceId id("i" + std::to_string(10000 + i));
      m_document.pools[static_cast<size_t>(i % pools)].instances.push_back(id);
      m_instances.push_back({.id = id,
                             .data_centre = DataCentreName("d" + std::to_string(i % 3)),
                             .rack = RackName("r" + std::to_string(i / pools / 4))});
    }
    document::Wave wave{.name = "kernel"};
    for (const document::Pool& pool : m_document.pools) wave.pools.push_back(pool.name);
    m_document.waves.push_back(std::move(wave));
    m_planner.Observe(m_document, 1, m_now);
  }

  /// Updates the observations, runs one planning step and applies its actions.
  void Step() {
    Observe();
    PlanningStep step = m_planner.Step(1, 0, m_now);
    for (PlanningAction& action : step.actions) Apply(action);
  }
  /// Passes the current instance list and entry roster to the planner.
  void Observe() {
    std::vector<provider::InstanceInfo> visible;
    visible.reserve(m_instances.size());
    for (const provider::InstanceInfo& info : m_instances) {
      const auto back = m_rebooting.find(info.id);
      if (back == m_rebooting.end() || back->second <= m_now) visible.push_back(info);
    }
    m_planner.Observe(visible, m_now, m_now);
    m_planner.Observe(ownership::RosterObserved{.read_started = m_now,
                                                .entries = {{.id = EntryId("e0"),
                                                             .acknowledged_sequence = m_sequence}}},
                      m_now);
  }
  /// Runs one planning step without applying its actions.
  PlanningStep Plan() { return m_planner.Step(1, 0, m_now); }
  void Advance(Duration duration) { m_now += duration; }
  bool IsWaveCompleted() const {
    const auto& rows = m_planner.maintenance().rows();
    return !rows.empty() && std::all_of(rows.begin(), rows.end(), [](const auto& item) {
      return !item.second.completed.empty();
    });
  }

 private:
  void Apply(PlanningAction& action) {
    if (auto* pool = std::get_if<maintenance::WritePool>(&action)) {
      m_planner.Observe(
          maintenance::PoolObserved{.pool = pool->pool, .row = pool->row, .version = ++m_sequence},
          m_now);
    } else if (auto* instance = std::get_if<ownership::WriteInstance>(&action)) {
      ++m_sequence;
      m_planner.Observe(ownership::RowObserved{.id = instance->id,
                                               .row = instance->row,
                                               .version = m_sequence,
                                               .sequence = m_sequence},
                        m_now);
    } else if (auto* reboot = std::get_if<ownership::RebootInstance>(&action)) {
      m_rebooting[reboot->id] = m_now + kMaintenanceTime;
      m_planner.Observe(ownership::RebootAccepted{.id = reboot->id}, m_now);
    }
  }

  document::Document m_document;
  std::vector<provider::InstanceInfo> m_instances;
  std::map<InstanceId, TimePoint> m_rebooting;
  FleetPlanner m_planner{EntryId("e0")};
  uint64_t m_sequence = 0;
  TimePoint m_now{1h};
};

/// One update of the observations and one planning step, as in each second of operation, while a
/// maintenance wave runs over 24 pools.
void PlanningStep(benchmark::State& state) {
  PlannerSimulation simulation(static_cast<int>(state.range(0)), 24, 4, 1);
  for (int i = 0; i < 5; ++i) {
    simulation.Step();
    simulation.Advance(1s);
  }
  for (auto _ : state) {
    simulation.Observe();
    benchmark::DoNotOptimize(simulation.Plan());
  }
}
BENCHMARK(PlanningStep)->Arg(50)->Arg(500)->Arg(1300)->Unit(benchmark::kMicrosecond);

/// Simulates a maintenance wave over 12 instances, four per rack, in steps of 1 s. Reports its
/// duration in simulated time and the lower bound.
void RollOut(benchmark::State& state) {
  const int max_unavailable = static_cast<int>(state.range(0));
  Duration elapsed{};
  for (auto _ : state) {
    PlannerSimulation simulation(12, 1, max_unavailable, 1);
    elapsed = Duration::zero();
    while (!simulation.IsWaveCompleted() && elapsed < 24h) {
      simulation.Step();
      simulation.Advance(1s);
      elapsed += 1s;
    }
  }
  state.counters["roll_out_s"] = ToSeconds(elapsed);
  state.counters["lower_bound_s"] =
      ToSeconds(maintenance::RolloutTime(12, max_unavailable - 1, kMaintenanceTime));
}
// The reserve is 1, so max_unavailable 4 allows three instances at a time and 2 allows one.
BENCHMARK(RollOut)->Arg(4)->Arg(2)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace citronferry::node
