#include "decisions/dispatch/dispatcher.h"

#include <gtest/gtest.h>

namespace citronferry::dispatch {
namespace {

class DispatcherTest : public ::testing::Test {
 protected:
  DispatcherTest() {
    Policy policy;
    policy.queues[QueueName("tally")] = {.pool = PoolName("billing"), .idempotent = false};
    policy.queues[QueueName("manifest")] = {.pool = PoolName("billing"), .idempotent = true};
    m_dispatcher.Handle(PolicyChanged{policy}, m_now);
    SetExecutors({{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 1}});
  }

  std::vector<Action> SetExecutors(std::vector<ExecutorState> executors) {
    return m_dispatcher.Handle(ExecutorsChanged{std::move(executors)}, m_now);
  }
  std::vector<Action> Arrive(RequestNumber number, std::string_view queue) {
    return m_dispatcher.Handle(RequestArrived{{.number = number,
                                               .queue = QueueName(queue),
                                               .team = TeamName("t"),
                                               .deadline = m_now + 60s}},
                               m_now);
  }
  std::vector<Action> EndAttempt(RequestNumber number, AttemptOutcome outcome) {
    return m_dispatcher.Handle(AttemptEnded{.number = number, .outcome = outcome}, m_now);
  }

  TimePoint m_now{1s};
  Dispatcher m_dispatcher;
};

// Guards against a second run of a non-idempotent request whose first attempt may have run.
TEST_F(DispatcherTest, UnknownOutcomeOfNonIdempotentRequestIsNotRetried) {
  ASSERT_EQ(Arrive(1, "tally").size(), 1u);
  const auto actions = EndAttempt(1, AttemptOutcome::kUnknown);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<EndRequest>(actions[0]).verdict, Verdict::kUnknown);
}

// Guards against giving up an idempotent request after one lost answer.
TEST_F(DispatcherTest, UnknownOutcomeOfIdempotentRequestIsRetried) {
  ASSERT_EQ(Arrive(1, "manifest").size(), 1u);
  const auto actions = EndAttempt(1, AttemptOutcome::kUnknown);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<StartAttempt>(actions[0]).attempt, 2);
}

// Guards against using more slots of an executor than this entry's share.
TEST_F(DispatcherTest, SlotsAreNotExceeded) {
  EXPECT_EQ(Arrive(1, "tally").size(), 1u);
  EXPECT_TRUE(Arrive(2, "tally").empty());
  EXPECT_EQ(EndAttempt(1, AttemptOutcome::kAnswered).size(), 2u);
}

// Guards against new work for a backend server that is leaving.
TEST_F(DispatcherTest, LeavingExecutorReceivesNoNewWork) {
  SetExecutors(
      {{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 8, .leaving = true}});
  EXPECT_TRUE(Arrive(1, "tally").empty());
}

}  // namespace
}  // namespace citronferry::dispatch
