#ifndef CITRONFERRY_DECISIONS_QUOTAS_DIVISION_H_
#define CITRONFERRY_DECISIONS_QUOTAS_DIVISION_H_

#include <span>
#include <vector>

#include "base/ids.h"
#include "decisions/quotas/types.h"

namespace citronferry::quotas {

/// Claim of a pool to a team's quota.
struct Claim {
  PoolName pool;
  TeamNeed need;
};

/// Divides a team's quota among pools. If the quota does not suffice for all claims, each pool in
/// turn, the one with the lowest use first, gets what it uses and its smallest waiting unit as
/// long as these fit; the rest is divided in proportion to the claims. Every owner computes the
/// same division from the same claims.
/// @param quota 0 in a dimension means no limit.
/// @return the share of each claim, in the same order. The shares never exceed the quota together.
std::vector<Resources> Divide(const Resources& quota, std::span<const Claim> claims);

}  // namespace citronferry::quotas

#endif  // CITRONFERRY_DECISIONS_QUOTAS_DIVISION_H_
