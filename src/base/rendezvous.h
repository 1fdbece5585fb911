#ifndef CITRONFERRY_BASE_RENDEZVOUS_H_
#define CITRONFERRY_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace citronferry {

/// @return the rendezvous (highest random weight) hash of a node for an item.
uint64_t RendezvousWeight(std::string_view node, std::string_view item);

/// Ranks nodes for an item by rendezvous hashing. Every process with the same set of nodes computes
/// the same order, and removing a node keeps the order of the others.
/// @return indices into nodes, highest weight first.
std::vector<size_t> RankNodes(std::span<const std::string_view> nodes, std::string_view item);

}  // namespace citronferry

#endif  // CITRONFERRY_BASE_RENDEZVOUS_H_
