#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_ORDER_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_ORDER_H_

#include <map>
#include <span>

#include "decisions/maintenance/types.h"

namespace citronferry::maintenance {

/// Input of the strategies that choose the next instance of a wave.
struct OrderContext {
  std::span<const Instance* const> candidates;       ///< Not empty, sorted by id.
  std::map<RackName, int> out_by_rack;               ///< Instances of the pool that are out.
  std::map<DataCentreName, int> out_by_data_centre;  ///< Instances of the pool that are out.
  std::span<const InstanceId> previous;              ///< Least recently maintained first.
};

/// @param order strategy of the wave.
/// @return the candidate to take out of service next.
const Instance* ChooseNext(Order order, const OrderContext& context);

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_ORDER_H_
