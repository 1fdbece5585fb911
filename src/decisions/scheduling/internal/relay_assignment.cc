#include "decisions/scheduling/relay_assignment.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "base/rendezvous.h"

namespace citronferry::scheduling {
namespace {

// A busy executor starts and ends some ten tasks a second. The calls for them take about 25 KB a
// second, mostly payloads. Twice that leaves room for the entry's other work and for executors that
// are busier than others.
constexpr double kCoresPerExecutor = 0.015;
constexpr double kMbpsPerExecutor = 0.4;
constexpr int kMaxExecutorsPerEntry = 1000;

struct Relay {
  EntryId entry;
  int capacity = 0;
  int assigned = 0;
};

/// @return whether the entry weighs more for this pool than for any other.
bool Prefers(const EntryId& entry, const PoolName& pool, std::span<const PoolName> pools) {
  const uint64_t own = RendezvousWeight(pool.view(), entry.view());
  return std::all_of(pools.begin(), pools.end(), [&](const PoolName& other) {
    return other == pool || RendezvousWeight(other.view(), entry.view()) <= own;
  });
}

/// @return as many entries as are needed for the executors, those that prefer the pool first.
std::vector<Relay> ChooseRelays(const PoolName& pool, std::span<const PoolName> pools,
                                std::span<const RelayCandidate> candidates, size_t executors) {
  std::vector<std::tuple<bool, uint64_t, const RelayCandidate*>> ranked;
  for (const RelayCandidate& candidate : candidates) {
    ranked.emplace_back(Prefers(candidate.entry, pool, pools),
                        RendezvousWeight(pool.view(), candidate.entry.view()), &candidate);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<Relay> relays;
  size_t capacity = 0;
  for (const auto& [prefers, weight, candidate] : ranked) {
    if (capacity >= executors) break;
    const int served = ExecutorsPerEntry(candidate->capacity);
    relays.push_back({.entry = candidate->entry, .capacity = served});
    capacity += static_cast<size_t>(served);
  }
  return relays;
}

}  // namespace

int ExecutorsPerEntry(const EntryCapacity& capacity) {
  const double served =
      std::min(capacity.cores / kCoresPerExecutor, capacity.link_mbps / kMbpsPerExecutor);
  return static_cast<int>(std::clamp<double>(served, 0, kMaxExecutorsPerEntry));
}

std::map<ExecutorId, EntryId> AssignRelays(const PoolName& pool, std::span<const PoolName> pools,
                                           const EntryCapacity& owner,
                                           std::span<const RelayCandidate> candidates,
                                           std::span<const ExecutorId> executors) {
  std::map<ExecutorId, EntryId> assigned;
  if (static_cast<int64_t>(executors.size()) <= ExecutorsPerEntry(owner)) return assigned;
  std::vector<Relay> relays = ChooseRelays(pool, pools, candidates, executors.size());
  for (const ExecutorId& executor : executors) {
    Relay* best = nullptr;
    uint64_t best_weight = 0;
    for (Relay& relay : relays) {
      if (relay.assigned >= relay.capacity) continue;
      const uint64_t weight = RendezvousWeight(relay.entry.view(), executor.view());
      if (best && weight <= best_weight) continue;
      best = &relay;
      best_weight = weight;
    }
    if (!best) break;
    ++best->assigned;
    assigned.emplace(executor, best->entry);
  }
  return assigned;
}

}  // namespace citronferry::scheduling
