#include "base/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace citronferry {

uint64_t RendezvousWeight(std::string_view node, std::string_view item) {
  const uint64_t seed = XXH3_64bits(node.data(), node.size());
  return XXH3_64bits_withSeed(item.data(), item.size(), seed);
}

std::vector<size_t> RankNodes(std::span<const std::string_view> nodes, std::string_view item) {
  std::vector<std::pair<uint64_t, size_t>> weighted;
  weighted.reserve(nodes.size());
  for (size_t i = 0; i < nodes.size(); ++i) {
    weighted.emplace_back(RendezvousWeight(nodes[i], item), i);
  }
  std::sort(weighted.begin(), weighted.end(), [&](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : nodes[a.second] < nodes[b.second];
  });
  std::vector<size_t> order(nodes.size());
  std::transform(weighted.begin(), weighted.end(), order.begin(),
                 [](const auto& entry) { return entry.second; });
  return order;
}

}  // namespace citronferry
