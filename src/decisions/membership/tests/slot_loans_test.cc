#include "decisions/membership/slot_loans.h"

#include <gtest/gtest.h>

namespace citronferry::membership {
namespace {

const EntryId kPeer("b");
const PoolName kPool("p");
const InstanceId kInstance("i");

template <typename T>
const T* Find(const std::vector<LoanAction>& actions) {
  for (const LoanAction& action : actions) {
    if (const T* found = std::get_if<T>(&action)) return found;
  }
  return nullptr;
}

LoadObserved Load(int free, int in_use, size_t waiting) {
  return {.instances = {{kInstance, {.pool = kPool, .free = free, .in_use = in_use}}},
          .needs = {{kPool, {.waiting = waiting, .deadline = 5s}}}};
}

class SlotLoansTest : public ::testing::Test {
 protected:
  std::vector<LoanAction> Handle(const LoanEvent& event) { return m_loans.Handle(event, m_now); }

  uint64_t Borrow() {
    Handle(LenderSeen{.entry = kPeer, .free_slots = 4});
    Handle(Load(0, 1, 1));
    const auto actions = Handle(LoanTick{});
    const auto* request = Find<SendLoanRequest>(actions);
    if (!request) return 0;
    Handle(LoanGrantReceived{
        .from = kPeer, .grant = {.number = request->request.number, .slots = {{kInstance, 1}}}});
    return request->request.number;
  }
  std::vector<LoanAction> Lend() {
    Handle(Load(1, 0, 0));
    return Handle(
        LoanRequestReceived{.from = kPeer,
                            .incarnation = "1",
                            .request = {.number = 7, .pool = kPool, .count = 3, .use = 6s}});
  }

  TimePoint m_now{10s};
  SlotLoans m_loans{0};
};

// Fails if lender and borrower use a slot at the same time, because the lender grants it before it
// gives it up.
TEST_F(SlotLoansTest, LenderStopsUsingTheSlotBeforeItGrants) {
  const auto actions = Lend();
  ASSERT_EQ(actions.size(), 2u);
  ASSERT_TRUE(std::holds_alternative<AdjustSlots>(actions[0]));
  EXPECT_EQ(std::get<AdjustSlots>(actions[0]).delta.at(kInstance), -1);
  EXPECT_EQ(std::get<SendLoanGrant>(actions[1]).grant.slots.at(kInstance), 1);
}

// Fails if a lender takes a slot back while a request of the borrower may still run on it.
TEST_F(SlotLoansTest, LenderHoldsTheSlotUntilTheUseHasEnded) {
  Lend();
  m_now += 6s;
  EXPECT_EQ(Find<AdjustSlots>(Handle(LoanTick{})), nullptr);
  m_now += kLoanMargin;
  EXPECT_NE(Find<AdjustSlots>(Handle(LoanTick{})), nullptr);
}

// Fails if a duplicated request leads to a second loan.
TEST_F(SlotLoansTest, DuplicatedRequestIsIgnored) {
  Lend();
  EXPECT_TRUE(Handle(LoanRequestReceived{.from = kPeer,
                                         .incarnation = "1",
                                         .request = {.number = 7, .pool = kPool, .count = 1}})
                  .empty());
}

// Fails if a borrower starts work after the loan has expired, or it returns a slot that is still
// in use.
TEST_F(SlotLoansTest, BorrowerStopsAtExpiryAndReturnsAfterUse) {
  const uint64_t number = Borrow();
  ASSERT_NE(number, 0u);
  Handle(Load(0, 2, 1));
  m_now += kLoanDuration;
  const auto expired = Handle(Load(0, 2, 1));
  ASSERT_NE(Find<AdjustSlots>(expired), nullptr);
  EXPECT_TRUE(Find<AdjustSlots>(expired)->delta.empty());
  EXPECT_EQ(Find<SendLoanReturn>(expired), nullptr);
  const auto ended = Handle(Load(0, 1, 1));
  ASSERT_NE(Find<SendLoanReturn>(ended), nullptr);
  EXPECT_TRUE(Find<SendLoanReturn>(ended)->returned.remaining.empty());
}

// Fails if slots stay lent until the request deadline because the grant was lost or late.
TEST_F(SlotLoansTest, LateGrantIsReturned) {
  Handle(LenderSeen{.entry = kPeer, .free_slots = 1});
  Handle(Load(0, 1, 1));
  const auto pending = Handle(LoanTick{});
  ASSERT_NE(Find<SendLoanRequest>(pending), nullptr);
  const uint64_t number = Find<SendLoanRequest>(pending)->request.number;
  m_now += kLoanDuration;
  EXPECT_NE(Find<SendLoanReturn>(Handle(LoanTick{})), nullptr);
  const auto actions = Handle(
      LoanGrantReceived{.from = kPeer, .grant = {.number = number, .slots = {{kInstance, 1}}}});
  EXPECT_NE(Find<SendLoanReturn>(actions), nullptr);
  EXPECT_EQ(Find<AdjustSlots>(actions), nullptr);
}

// Fails if the traffic grows with the queue. At most one request is sent in 100 ms, and none
// without need.
TEST_F(SlotLoansTest, AsksOnlyWhenNeededAndAtMostEvery100Ms) {
  Handle(LenderSeen{.entry = kPeer, .free_slots = 100});
  Handle(Load(1, 0, 5));
  EXPECT_EQ(Find<SendLoanRequest>(Handle(LoanTick{})), nullptr);
  Handle(Load(0, 1, 20));
  EXPECT_NE(Find<SendLoanRequest>(Handle(LoanTick{})), nullptr);
  EXPECT_EQ(Find<SendLoanRequest>(Handle(LoanTick{})), nullptr);
  m_now += kLoanRequestPeriod;
  EXPECT_NE(Find<SendLoanRequest>(Handle(LoanTick{})), nullptr);
}

}  // namespace
}  // namespace citronferry::membership
