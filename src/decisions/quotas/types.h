#ifndef CITRONFERRY_DECISIONS_QUOTAS_TYPES_H_
#define CITRONFERRY_DECISIONS_QUOTAS_TYPES_H_

#include <array>
#include <cstdint>
#include <map>

#include "base/ids.h"
#include "decisions/scheduling/types.h"

namespace citronferry::quotas {

using scheduling::Resources;

/// The dimensions of resources; each is divided on its own.
inline constexpr std::array kDimensions{&Resources::cpu_millicores, &Resources::memory_mb,
                                        &Resources::gpus};

/// Limit in a dimension in which a quota sets none. Sums of several such limits fit 64 bits.
inline constexpr int64_t kNoLimit = 1'000'000'000'000'000;

/// What a team uses and waits for in a pool.
struct TeamNeed {
  Resources used;     ///< By runs that may exist.
  Resources waiting;  ///< Requested by tasks that only the quota keeps from starting.
  Resources unit;     ///< Smallest request that waits: a task or a whole gang.

  friend bool operator==(const TeamNeed&, const TeamNeed&) = default;
};

/// What a pool may use of a team's quota.
struct TeamGrant {
  Resources granted;
  /// The pool needs more than the grant; `need` is what it used and waited for when the row was
  /// written. Without this, `need` is empty.
  bool is_short = false;
  TeamNeed need;

  friend bool operator==(const TeamGrant&, const TeamGrant&) = default;
};

/// Row of a pool in the table of grants. It belongs to the pool: a new owner continues with it.
struct GrantRow {
  int64_t epoch = 0;  ///< Of the owner that wrote the row.
  std::map<TeamName, TeamGrant> teams;

  friend bool operator==(const GrantRow&, const GrantRow&) = default;
};

/// A row as read from the store.
struct StoredGrants {
  int64_t version = 0;  ///< 0 if there is no row.
  GrantRow row;
};

}  // namespace citronferry::quotas

#endif  // CITRONFERRY_DECISIONS_QUOTAS_TYPES_H_
