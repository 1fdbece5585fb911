// Prints how often instances change pools in two hours of surges with one sustained shortage: with
// the default demand options, and with options that move an instance on every surge.

#include <iostream>
#include <string>
#include <vector>

#include "decisions/ownership/demand_tracker.h"

namespace citronferry {
namespace {

constexpr Duration kTraceLength = 2h;
constexpr Duration kShortageStart = 30min;
constexpr Duration kShortageEnd = 60min;
constexpr size_t kPools = 5;  // They surge in turn.
constexpr size_t kShortagePool = 2;

/// Load parameters of a deployment.
struct Deployment {
  std::string name;
  Duration surge_length{};
};

std::vector<PoolName> MakePools() {
  std::vector<PoolName> pools;
  for (size_t i = 0; i < kPools; ++i) pools.emplace_back("pool-" + std::to_string(i));
  return pools;
}

/// @param lent whether the pool has an instance on loan from another pool.
/// @return the simulated demand of a pool at a time since the start of the trace.
ownership::DemandSample MakeSample(const Deployment& deployment, size_t pool, Duration elapsed,
                                   bool lent) {
  const bool surge = static_cast<size_t>(elapsed / deployment.surge_length) % kPools == pool;
  // The lent instance covers the sustained shortage, so requests no longer wait.
  const bool shortage =
      pool == kShortagePool && elapsed >= kShortageStart && elapsed < kShortageEnd;
  if (surge || (shortage && !lent)) return {.waiting = 40, .free_slots = 0, .slots = 80};
  if (shortage) return {.waiting = 0, .free_slots = 8, .slots = 88};
  return {.waiting = 0, .free_slots = 76, .slots = 80};
}

/// Replays the trace and lends or returns an instance whenever the tracker asks for it.
/// @return the number of moves between pools.
int CountPoolChanges(const Deployment& deployment, const ownership::DemandOptions& options) {
  ownership::DemandTracker tracker(options);
  const std::vector<PoolName> pools = MakePools();
  std::vector<bool> lent(kPools, false);
  int moves = 0;
  for (Duration elapsed{}; elapsed < kTraceLength; elapsed += 1s) {
    std::map<PoolName, ownership::DemandSample> samples;
    for (size_t i = 0; i < kPools; ++i) {
      samples[pools[i]] = MakeSample(deployment, i, elapsed, lent[i]);
    }
    tracker.Observe(samples, TimePoint(elapsed));
    for (size_t i = 0; i < kPools; ++i) {
      const bool change = lent[i] ? tracker.CanReturn(pools[i]) : tracker.HasShortage(pools[i]);
      if (!change) continue;
      lent[i] = !lent[i];
      ++moves;
    }
  }
  return moves;
}

/// Prints the table row of a deployment.
void PrintRow(const Deployment& deployment) {
  const ownership::DemandOptions every_surge{
      .shortage_time = 0s, .slack_time = 0s, .return_time = 0s};
  // One instance has to move to the pool with the shortage; its return is not needed to serve
  // requests.
  constexpr int kLowerBound = 1;
  std::cout << "| " << deployment.name << " | " << kLowerBound << " | "
            << CountPoolChanges(deployment, {}) << " | "
            << CountPoolChanges(deployment, every_surge) << " |\n";
}

}  // namespace
}  // namespace citronferry

int main() {
  using namespace citronferry;  // NOLINT(google-build-using-namespace)
  std::cout << "| deployment | lower bound | sustained demand | every surge |\n|---|---|---|---|\n";
  PrintRow({.name = "Cariboo", .surge_length = 5s});
  PrintRow({.name = "Ndiaye", .surge_length = 8s});
  return 0;
}
