#include "decisions/scheduling/executor_session.h"

#include <gtest/gtest.h>

namespace citronferry::scheduling {
namespace {

constexpr int64_t kEpoch = 7;

class ExecutorSessionTest : public ::testing::Test {
 protected:
  ExecutorSessionTest() {
    m_executor.info.incarnation_unix_ms = 1000;
    m_executor.responding = true;
    m_executor.durable_end = 5;
  }

  HoldTerms Hold() { return m_session.MakeHold(m_executor, m_version, m_now); }

  /// Answers a hold as the incarnation that the owner knows.
  HoldTerms HoldAndReport(int64_t clock_ms) {
    const HoldTerms terms = Hold();
    m_session.OnReport(
        terms, {.incarnation_unix_ms = m_executor.info.incarnation_unix_ms, .clock_ms = clock_ms},
        m_now);
    return terms;
  }

  ExecutorSession m_session{kEpoch, 5s};
  ExecutorState m_executor;
  int64_t m_version = kEpoch;
  TimePoint m_now{100s};
};

// Guards against acknowledging ends of an incarnation that has not reported (TWICE).
TEST_F(ExecutorSessionTest, NothingIsAcknowledgedBeforeTheFirstReport) {
  EXPECT_FALSE(Hold().established());
  EXPECT_EQ(Hold().acknowledged_end, 0);
  EXPECT_FALSE(m_session.MakeStart(m_executor, m_now));
  HoldAndReport(400);
  m_now += 1s;
  EXPECT_EQ(Hold().acknowledged_end, 5);
  EXPECT_EQ(Hold().lease_until_ms, 400 + 1000 + 5000);
  EXPECT_EQ(m_session.MakeStart(m_executor, m_now)->lease_until_ms, 400 + 1000 + 5000);
}

// Guards against a call to a previous incarnation that the next one carries out after it has been
// given orders (TWICE): it has to have a lower token.
TEST_F(ExecutorSessionTest, EachIncarnationHasItsOwnToken) {
  HoldAndReport(400);
  ASSERT_EQ(m_session.MakeStart(m_executor, m_now)->fencing_token, kEpoch);
  m_executor.info.incarnation_unix_ms = 2000;
  EXPECT_TRUE(m_session.AwaitsCommit(m_executor, m_version));
  HoldAndReport(3);
  EXPECT_FALSE(m_session.MakeStart(m_executor, m_now))
      << "the token is still that of its predecessor";
  m_version = 9;
  EXPECT_EQ(HoldAndReport(4).fencing_token, 9);
  EXPECT_EQ(m_session.MakeStart(m_executor, m_now)->fencing_token, 9);
  EXPECT_EQ(Hold().lease_until_ms, 4 + 5000);
  m_version = 12;
  EXPECT_EQ(Hold().fencing_token, 9) << "a commit alone changes no token";
}

// Guards against the number of an end, or a lease, that reaches an incarnation which started while
// a call had no response.
TEST_F(ExecutorSessionTest, UnansweredCallSuspendsAcknowledgementsUntilTheNextReport) {
  HoldAndReport(400);
  m_session.OnUnanswered();
  EXPECT_FALSE(Hold().established());
  EXPECT_EQ(Hold().acknowledged_end, 0);
  HoldAndReport(500);
  EXPECT_TRUE(Hold().established());
}

// Guards against leases that run out and ends that are not acknowledged (LOST) when responses are
// late: each hold finds a further start without a response, which asks for a token.
TEST_F(ExecutorSessionTest, FencesInARowDoNotSuspendLeases) {
  HoldAndReport(400);
  int established = 0;
  for (int i = 0; i < 20; ++i) {
    ++m_executor.fences;
    ++m_version;
    established += HoldAndReport(400).established() ? 1 : 0;
  }
  EXPECT_GE(established, 9);
}

}  // namespace
}  // namespace citronferry::scheduling
