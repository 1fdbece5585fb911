#include <gtest/gtest.h>

#include <vector>

#include "decisions/access/access_policy.h"
#include "decisions/access/key_ring.h"

namespace citronferry::access {
namespace {

constexpr TimePoint kStart{100s};

AccessPolicy StrictPolicy() {
  return AccessPolicy(
      {.strict_revocation = true, .revocation_bound = 5s, .configuration_bound = 3s});
}

// Guards against a revoked key that an entry without the store still serves: a call that arrives
// after the bound may have been sent after it, whatever the entry's configuration says.
TEST(AccessPolicyTest, KeysAreServedWithinTheRevocationBoundOnly) {
  const AccessPolicy policy = StrictPolicy();
  EXPECT_TRUE(policy.MayServe(kStart, kStart));
  EXPECT_TRUE(policy.MayServe(kStart, kStart + 4500ms));
  // On a clock that is 2 % slow, 4.9 s are 5 s.
  EXPECT_FALSE(policy.MayServe(kStart, kStart + 4900ms));
  EXPECT_FALSE(policy.MayServe(kStart, kStart + 60s));
  EXPECT_FALSE(policy.MayServe(std::nullopt, kStart));
}

// Guards against a deployment without strict revocation that refuses calls while the store is away.
TEST(AccessPolicyTest, WithoutStrictRevocationTheConfigurationInForceDecides) {
  const AccessPolicy policy({.revocation_bound = 5s});
  EXPECT_TRUE(policy.MayServe(kStart, kStart + 60s));
  EXPECT_TRUE(policy.MayDeny(kStart, kStart + 60s));
}

// Guards against an outdated entry that reports a new key or queue as unknown.
TEST(AccessPolicyTest, UnknownKeysAreDeniedWithinTheConfigurationBoundOnly) {
  const AccessPolicy policy = StrictPolicy();
  EXPECT_TRUE(policy.MayDeny(kStart, kStart + 2500ms));
  EXPECT_FALSE(policy.MayDeny(kStart, kStart + 2900ms));
  EXPECT_FALSE(policy.MayDeny(std::nullopt, kStart));
}

TEST(KeyRingTest, FindsTheTeamOfAKey) {
  const std::vector<std::string> first{"k1", "k2"};
  const std::vector<std::string> second{"k3", "k1", ""};
  const std::vector<TeamKeys> teams{{TeamName("a"), first}, {TeamName("b"), second}};
  KeyRing ring;
  EXPECT_EQ(ring.Find("k1"), nullptr);
  ring.SetKeys(teams);
  ASSERT_NE(ring.Find("k2"), nullptr);
  EXPECT_EQ(*ring.Find("k2"), TeamName("a"));
  EXPECT_EQ(*ring.Find("k3"), TeamName("b"));
  EXPECT_EQ(*ring.Find("k1"), TeamName("a"));
  // An empty key in the configuration must not let calls in that have none.
  for (const char* unknown : {"", "k", "k12", "K1"}) EXPECT_EQ(ring.Find(unknown), nullptr);
}

// Guards against a withdrawn key that stays in the ring.
TEST(KeyRingTest, KeysThatAreWithdrawnAreUnknown) {
  const std::vector<std::string> before{"k1", "k2"};
  const std::vector<std::string> after{"k2"};
  KeyRing ring;
  ring.SetKeys(std::vector<TeamKeys>{{TeamName("a"), before}});
  ring.SetKeys(std::vector<TeamKeys>{{TeamName("a"), after}});
  EXPECT_EQ(ring.Find("k1"), nullptr);
  EXPECT_NE(ring.Find("k2"), nullptr);
}

TEST(KeyRingTest, FingerprintIsThatOfSha256) { EXPECT_EQ(Fingerprint("abc"), "ba7816bf"); }

}  // namespace
}  // namespace citronferry::access
