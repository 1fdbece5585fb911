#include "decisions/quotas/division.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace citronferry::quotas {
namespace {

constexpr double kHalf = 0.5;

Resources Wanted(const TeamNeed& need) {
  Resources wanted = need.used;
  return wanted += need.waiting;
}

// What a pool needs in order to start a waiting unit.
Resources Floor(const TeamNeed& need) {
  Resources floor = need.used;
  return floor += need.unit;
}

double DominantShare(const Resources& used, const Resources& quota) {
  double share = 0;
  for (const auto dimension : kDimensions) {
    if (quota.*dimension <= 0) continue;
    share = std::max(share,
                     static_cast<double>(used.*dimension) / static_cast<double>(quota.*dimension));
  }
  return share;
}

}  // namespace

std::vector<Resources> Divide(const Resources& quota, std::span<const Claim> claims) {
  Resources total;
  Resources used;
  for (const Claim& claim : claims) {
    total += Wanted(claim.need);
    used += claim.need.used;
  }
  const auto contended = [&](auto dimension) {
    return quota.*dimension > 0 && total.*dimension > quota.*dimension;
  };
  std::vector<Resources> shares(claims.size());
  std::vector<size_t> order(claims.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return std::tuple(DominantShare(claims[a].need.used, quota), claims[a].pool) <
           std::tuple(DominantShare(claims[b].need.used, quota), claims[b].pool);
  });
  // Above half of the quota, room for a unit may have to be made by runs that end. Below, all runs
  // keep their room, so that a unit that does not fit beside them keeps no other from starting.
  const bool below_half = DominantShare(used, quota) < kHalf;
  Resources left = quota;
  if (below_half) {
    left -= used;
    for (size_t i = 0; i < claims.size(); ++i) shares[i] = claims[i].need.used;
  }
  for (const size_t i : order) {
    const Resources need = Floor(claims[i].need) - shares[i];
    const bool fits = std::all_of(kDimensions.begin(), kDimensions.end(), [&](auto dimension) {
      return !contended(dimension) || need.*dimension <= left.*dimension;
    });
    if (!fits) continue;
    shares[i] += need;
    left -= need;
  }
  for (const auto dimension : kDimensions) {
    if (quota.*dimension <= 0) {
      for (Resources& share : shares) share.*dimension = kNoLimit;
      continue;
    }
    std::vector<int64_t> open(claims.size());
    for (size_t i = 0; i < claims.size(); ++i) {
      open[i] = std::max<int64_t>(0, Wanted(claims[i].need).*dimension - shares[i].*dimension);
    }
    const int64_t sum = std::accumulate(open.begin(), open.end(), int64_t{0});
    for (size_t i = 0; i < claims.size(); ++i) {
      if (!contended(dimension)) {
        shares[i].*dimension += open[i];
      } else if (sum > 0) {
        const double part = static_cast<double>(open[i]) / static_cast<double>(sum);
        shares[i].*dimension += static_cast<int64_t>(static_cast<double>(left.*dimension) * part);
      }
    }
  }
  return shares;
}

}  // namespace citronferry::quotas
