#include "decisions/quotas/division.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace citronferry::quotas {
namespace {

Claim MakeClaim(std::string_view pool, int64_t used, int64_t waiting, int64_t unit) {
  return {.pool = PoolName(pool),
          .need = {.used = {.cpu_millicores = used},
                   .waiting = {.cpu_millicores = waiting},
                   .unit = {.cpu_millicores = unit}}};
}

std::vector<int64_t> CpuShares(int64_t quota, const std::vector<Claim>& claims) {
  std::vector<int64_t> shares;
  for (const Resources& share : Divide({.cpu_millicores = quota}, claims)) {
    shares.push_back(share.cpu_millicores);
  }
  return shares;
}

// Guards against a division that takes away from a pool although the quota suffices for all.
TEST(DivisionTest, GivesEachPoolItsClaimIfTheQuotaSuffices) {
  EXPECT_EQ(CpuShares(100, {MakeClaim("a", 30, 10, 5), MakeClaim("b", 20, 30, 5)}),
            (std::vector<int64_t>{40, 50}));
}

// Guards against a quota that two pools divide so that neither can start a large task.
TEST(DivisionTest, LargeTasksOfOnePoolFitIfThoseOfTwoDoNot) {
  const auto shares = CpuShares(100, {MakeClaim("a", 0, 60, 60), MakeClaim("b", 0, 60, 60)});
  EXPECT_GE(*std::max_element(shares.begin(), shares.end()), 60);
}

// Guards against a pool that holds the whole quota as long as it has work, while another waits.
TEST(DivisionTest, PoolWithoutUseGoesBeforeOneThatHoldsTheQuota) {
  const auto shares = CpuShares(100, {MakeClaim("a", 100, 900, 10), MakeClaim("b", 0, 50, 10)});
  EXPECT_GE(shares[1], 10);
  EXPECT_LE(shares[0] + shares[1], 100);
}

// Guards against a division that ignores how much work waits in each pool.
TEST(DivisionTest, DividesByTheWorkThatWaits) {
  const auto shares = CpuShares(100, {MakeClaim("a", 0, 300, 1), MakeClaim("b", 0, 100, 1)});
  EXPECT_NEAR(static_cast<double>(shares[0]), 75, 2);
  EXPECT_NEAR(static_cast<double>(shares[1]), 25, 2);
}

// Guards against a dimension without a limit that restricts the others.
TEST(DivisionTest, DimensionWithoutLimitIsNotDivided) {
  Claim claim = MakeClaim("a", 0, 50, 50);
  claim.need.waiting.memory_mb = claim.need.unit.memory_mb = 1'000'000;
  const auto shares = Divide({.cpu_millicores = 100}, std::vector<Claim>{claim});
  EXPECT_EQ(shares.front().memory_mb, kNoLimit);
  EXPECT_EQ(shares.front().cpu_millicores, 50);
}

}  // namespace
}  // namespace citronferry::quotas
