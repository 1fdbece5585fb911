// Prints how often instances change pools in two hours of surges with one sustained shortage, for
// the rule in force and for the plain rule that moves an instance on every surge.

#include <iostream>
#include <string>
#include <vector>

#include "decisions/ownership/demand_tracker.h"

namespace citronferry {
namespace {

constexpr Duration kTraceLength = 2h;
constexpr Duration kShortageStart = 30min;
constexpr Duration kShortageEnd = 60min;
constexpr size_t kPools = 5;  // Their queues surge in turn.
constexpr size_t kShortPool = 2;

struct Deployment {
  std::string name;
  Duration surge_length{};
};

std::vector<PoolName> MakePools() {
  std::vector<PoolName> pools;
  for (size_t i = 0; i < kPools; ++i) pools.emplace_back("pool-" + std::to_string(i));
  return pools;
}

ownership::DemandSample Sample(const Deployment& deployment, size_t pool, Duration elapsed,
                               bool lent) {
  const bool surge = static_cast<size_t>(elapsed / deployment.surge_length) % kPools == pool;
  // The lent instance covers the sustained shortage, so the work does not wait any more.
  const bool shortage = pool == kShortPool && elapsed >= kShortageStart && elapsed < kShortageEnd;
  if (surge || (shortage && !lent)) return {.waiting = 40, .free_slots = 0, .slots = 80};
  if (shortage) return {.waiting = 0, .free_slots = 8, .slots = 88};
  return {.waiting = 0, .free_slots = 76, .slots = 80};
}

int CountMoves(const Deployment& deployment, const ownership::DemandOptions& options) {
  ownership::DemandTracker tracker(options);
  const std::vector<PoolName> pools = MakePools();
  std::vector<bool> lent(kPools, false);
  int moves = 0;
  for (Duration elapsed{}; elapsed < kTraceLength; elapsed += 1s) {
    std::map<PoolName, ownership::DemandSample> samples;
    for (size_t i = 0; i < kPools; ++i) {
      samples[pools[i]] = Sample(deployment, i, elapsed, lent[i]);
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

void Measure(const Deployment& deployment) {
  const ownership::DemandOptions every_surge{
      .shortage_time = 0s, .slack_time = 0s, .return_time = 0s};
  // One instance has to go to the pool with the shortage; its return is not needed for service.
  constexpr int kLowerBound = 1;
  std::cout << "| " << deployment.name << " | " << kLowerBound << " | "
            << CountMoves(deployment, {}) << " | " << CountMoves(deployment, every_surge) << " |\n";
}

}  // namespace
}  // namespace citronferry

int main() {
  using namespace citronferry;  // NOLINT(google-build-using-namespace)
  std::cout << "| deployment | lower bound | sustained demand | every surge |\n|---|---|---|---|\n";
  Measure({.name = "Cariboo", .surge_length = 5s});
  Measure({.name = "Ndiaye", .surge_length = 8s});
  return 0;
}
