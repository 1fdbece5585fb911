#include "decisions/membership/slot_share.h"

#include <algorithm>
#include <limits>

#include "base/rendezvous.h"

namespace citronferry::membership {
namespace {

std::vector<std::string_view> Names(std::span<const EntryId> roster) {
  std::vector<std::string_view> names;
  names.reserve(roster.size());
  for (const EntryId& entry : roster) names.push_back(entry.view());
  return names;
}

}  // namespace

int SlotShare(const EntryId& self, std::span<const EntryId> roster, const InstanceId& executor,
              int slots) {
  const std::vector<std::string_view> names = Names(roster);
  const std::vector<size_t> order = RankNodes(names, executor.view());
  const auto position = std::find_if(order.begin(), order.end(),
                                     [&](size_t index) { return names[index] == self.view(); });
  if (position == order.end()) return 0;
  const int rank = static_cast<int>(position - order.begin());
  const int entries = static_cast<int>(order.size());
  return slots / entries + (rank < slots % entries ? 1 : 0);
}

int SmallestSlotShare(const EntryId& self, std::span<const std::vector<EntryId>> rosters,
                      const InstanceId& executor, int slots) {
  if (rosters.empty()) return 0;
  int smallest = std::numeric_limits<int>::max();
  for (const std::vector<EntryId>& roster : rosters) {
    smallest = std::min(smallest, SlotShare(self, roster, executor, slots));
  }
  return smallest;
}

std::vector<EntryId> ChooseHeartbeatPeers(const EntryId& self, std::span<const EntryId> roster) {
  std::vector<EntryId> peers;
  std::copy_if(roster.begin(), roster.end(), std::back_inserter(peers),
               [&self](const EntryId& entry) { return entry != self; });
  if (peers.size() <= kMaxHeartbeatPeers) return peers;
  const std::vector<size_t> order = RankNodes(Names(peers), self.view());
  std::vector<EntryId> chosen;
  for (size_t i = 0; i < kMaxHeartbeatPeers; ++i) chosen.push_back(peers[order[i]]);
  return chosen;
}

}  // namespace citronferry::membership
