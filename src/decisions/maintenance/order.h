#ifndef CITRONFERRY_DECISIONS_MAINTENANCE_ORDER_H_
#define CITRONFERRY_DECISIONS_MAINTENANCE_ORDER_H_

#include <map>
#include <span>

#include "decisions/maintenance/types.h"

namespace citronferry::maintenance {

/// What the strategies may base their choice on.
struct OrderContext {
  std::span<const Instance* const> candidates;       ///< Not empty, by id.
  std::map<RackName, int> out_by_rack;               ///< Instances of the pool that are out.
  std::map<DataCentreName, int> out_by_data_centre;  ///< Instances of the pool that are out.
  std::span<const InstanceId> previous;              ///< Least recently maintained first.
};

/// @return the instance to take out next.
const Instance* ChooseNext(Order order, const OrderContext& context);

}  // namespace citronferry::maintenance

#endif  // CITRONFERRY_DECISIONS_MAINTENANCE_ORDER_H_
