#include "decisions/maintenance/order.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace citronferry::maintenance {
namespace {

template <typename Key>
int CountOf(const std::map<Key, int>& counts, const Key& key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

template <typename Rank>
const Instance* MinBy(const OrderContext& context, Rank rank) {
  return *std::min_element(
      context.candidates.begin(), context.candidates.end(),
      [&](const Instance* a, const Instance* b) { return rank(*a) < rank(*b); });
}

/// Finishes one rack after the other: prefers racks, then data centres, that already have instances
/// out of service.
const Instance* RackByRack(const OrderContext& context) {
  return MinBy(context, [&](const Instance& instance) {
    return std::tuple(CountOf(context.out_by_rack, instance.rack) == 0,
                      CountOf(context.out_by_data_centre, instance.data_centre) == 0,
                      instance.data_centre.view(), instance.rack.view());
  });
}

/// Prefers the rack, then the data centre, with the fewest instances out of service.
const Instance* Spread(const OrderContext& context) {
  return MinBy(context, [&](const Instance& instance) {
    return std::tuple(CountOf(context.out_by_rack, instance.rack),
                      CountOf(context.out_by_data_centre, instance.data_centre));
  });
}

/// Prefers instances that were never maintained, then those maintained least recently.
const Instance* LongestSinceMaintenance(const OrderContext& context) {
  std::map<InstanceId, int> positions;
  for (const InstanceId& id : context.previous) positions.emplace(id, positions.size() + 1);
  return MinBy(context, [&](const Instance& instance) { return CountOf(positions, instance.id); });
}

}  // namespace

const Instance* ChooseNext(Order order, const OrderContext& context) {
  using Strategy = const Instance* (*)(const OrderContext&);
  // In the order of the values of Order.
  static constexpr std::array<Strategy, 3> kStrategies{&RackByRack, &Spread,
                                                       &LongestSinceMaintenance};
  return kStrategies[static_cast<size_t>(order)](context);
}

}  // namespace citronferry::maintenance
