#include "decisions/membership/slot_share.h"

#include <algorithm>
#include <vector>

#include "base/rendezvous.h"

namespace citronferry::membership {

int SlotShare(const EntryId& self, std::span<const EntryId> roster, const InstanceId& executor,
              int slots) {
  std::vector<std::string_view> names;
  names.reserve(roster.size());
  for (const EntryId& entry : roster) names.push_back(entry.view());
  const std::vector<size_t> order = RankNodes(names, executor.view());
  const auto position = std::find_if(order.begin(), order.end(),
                                     [&](size_t index) { return names[index] == self.view(); });
  if (position == order.end()) return 0;
  const int rank = static_cast<int>(position - order.begin());
  const int entries = static_cast<int>(order.size());
  return slots / entries + (rank < slots % entries ? 1 : 0);
}

}  // namespace citronferry::membership
