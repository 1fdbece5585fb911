#include "http/client_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace citronferry::http {
namespace {

using Phase = ClientBudget::Phase;
using Share = ClientBudget::Share;

constexpr size_t kBase = 10;
constexpr int kTicks = 3;

class ClientBudgetTest : public ::testing::Test {
 protected:
  Share& Open(Phase phase) {
    const size_t index = m_shares.size();
    m_shares.push_back(
        std::make_unique<Share>(m_budget, kBase, [this, index] { m_closed.push_back(index); }));
    m_shares.back()->Enter(phase);
    return *m_shares.back();
  }
  static void Age(Share& share) {
    for (int i = 0; i < kTicks; ++i) share.CountTick();
  }

  ClientBudget m_budget{{.max_bytes = 100, .max_connections = 4}};
  std::vector<std::unique_ptr<Share>> m_shares;
  std::vector<size_t> m_closed;
};

// Guards against bytes that stay charged after a request or a connection has ended.
TEST_F(ClientBudgetTest, EverythingIsReleased) {
  Share& share = Open(Phase::kUnfinished);
  EXPECT_TRUE(share.Reserve(50));
  share.Charge(200);
  EXPECT_EQ(m_budget.used_bytes(), 260u);
  share.Release();
  EXPECT_EQ(m_budget.used_bytes(), kBase);
  m_shares.clear();
  EXPECT_EQ(m_budget.used_bytes(), 0u);
  EXPECT_EQ(m_budget.connections(), 0u);
}

// Guards against memory beyond the limit, and against a failed reservation that is charged.
TEST_F(ClientBudgetTest, ReservationBeyondTheLimitFails) {
  Share& share = Open(Phase::kUnfinished);
  EXPECT_FALSE(share.Reserve(91));
  EXPECT_TRUE(share.Reserve(90));
  EXPECT_FALSE(share.Reserve(1));
  EXPECT_EQ(m_budget.used_bytes(), 100u);
}

// Guards against requests in progress that are closed while idle connections hold memory.
TEST_F(ClientBudgetTest, IdleConnectionsAreClosedFirst) {
  Share& old = Open(Phase::kUnfinished);
  Age(old);
  Open(Phase::kIdle);
  Open(Phase::kIdle);
  Share& requester = Open(Phase::kUnfinished);
  EXPECT_TRUE(requester.Reserve(70));
  EXPECT_EQ(m_closed, (std::vector<size_t>{1}));
  EXPECT_TRUE(requester.Reserve(10));
  EXPECT_EQ(m_closed, (std::vector<size_t>{1, 2}));
  EXPECT_TRUE(requester.Reserve(10));
  EXPECT_EQ(m_closed, (std::vector<size_t>{1, 2, 0}));
}

// Guards against new requests that close each other, and against closing requests that are complete
// or that ask for memory themselves.
TEST_F(ClientBudgetTest, RecentCompleteAndOwnRequestsAreKept) {
  Share& requester = Open(Phase::kUnfinished);
  Age(requester);
  Open(Phase::kUnfinished);
  Age(Open(Phase::kHandling));
  EXPECT_FALSE(requester.Reserve(80));
  EXPECT_TRUE(m_closed.empty());
}

// Guards against more connections than descriptors: the longest idle one makes room, and without
// any there is none.
TEST_F(ClientBudgetTest, ConnectionsAreBounded) {
  Share& first = Open(Phase::kIdle);
  for (int i = 0; i < 3; ++i) Open(Phase::kIdle);
  first.Enter(Phase::kUnfinished);
  first.Enter(Phase::kIdle);  // Now the most recently used.
  EXPECT_FALSE(m_budget.has_room());
  EXPECT_TRUE(m_budget.Admit());
  EXPECT_EQ(m_closed, (std::vector<size_t>{1}));
  Open(Phase::kHandling);
  for (const auto& share : m_shares) share->Enter(Phase::kHandling);
  EXPECT_FALSE(m_budget.Admit());
}

// Guards against a share that was closed to make room and is released a second time when its
// connection ends, or that holds more memory afterwards.
TEST_F(ClientBudgetTest, ClosedShareHoldsNothing) {
  Share& closed = Open(Phase::kIdle);
  for (int i = 0; i < 3; ++i) Open(Phase::kHandling);
  EXPECT_TRUE(m_budget.Admit());
  EXPECT_EQ(m_budget.connections(), 3u);
  EXPECT_FALSE(closed.Reserve(1));
  closed.Charge(5);
  closed.Enter(Phase::kUnfinished);
  closed.Release();
  EXPECT_EQ(m_budget.used_bytes(), 3 * kBase);
  m_shares.clear();
  EXPECT_EQ(m_budget.used_bytes(), 0u);
  EXPECT_EQ(m_budget.connections(), 0u);
}

// Guards against limits that leave nothing for the entry's own work, files or other sockets, and
// against none at all where the settings state nothing or too little.
TEST(ClientBudgetLimitsTest, LimitsFollowThoseOfTheProcess) {
  constexpr size_t kMegabyte = 1024 * 1024;
  const auto smallest = ClientBudget::DeriveLimits(160 * kMegabyte, 4100);
  EXPECT_EQ(smallest.max_bytes, 48 * kMegabyte);
  EXPECT_EQ(smallest.max_connections, 512u);
  EXPECT_EQ(ClientBudget::DeriveLimits(512 * kMegabyte, 420).max_connections, 110u);
  EXPECT_GT(ClientBudget::DeriveLimits(0, 0).max_bytes, smallest.max_bytes);
  EXPECT_GT(ClientBudget::DeriveLimits(kMegabyte, 10).max_bytes, 0u);
  EXPECT_GT(ClientBudget::DeriveLimits(kMegabyte, 10).max_connections, 0u);
}

}  // namespace
}  // namespace citronferry::http
