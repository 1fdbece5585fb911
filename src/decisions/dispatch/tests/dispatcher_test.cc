#include "decisions/dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <set>

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
  std::vector<Action> Arrive(RequestNumber number, std::string_view queue,
                             std::string_view team = "t") {
    return m_dispatcher.Handle(RequestArrived{{.number = number,
                                               .queue = QueueName(queue),
                                               .team = TeamName(team),
                                               .deadline = m_now + 60s}},
                               m_now);
  }
  std::vector<Action> EndAttempt(RequestNumber number, AttemptOutcome outcome) {
    return m_dispatcher.Handle(AttemptEnded{.number = number, .outcome = outcome}, m_now);
  }

  TimePoint m_now{1s};
  Dispatcher m_dispatcher;
};

// Guards against a second attempt of a non-idempotent request whose first attempt may have run.
TEST_F(DispatcherTest, UnknownOutcomeOfNonIdempotentRequestIsNotRetried) {
  ASSERT_EQ(Arrive(1, "tally").size(), 1u);
  const auto actions = EndAttempt(1, AttemptOutcome::kUnknown);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<EndRequest>(actions[0]).verdict, Verdict::kUnknown);
}

// Guards against ending an idempotent request after a single lost answer.
TEST_F(DispatcherTest, UnknownOutcomeOfIdempotentRequestIsRetried) {
  ASSERT_EQ(Arrive(1, "manifest").size(), 1u);
  const auto actions = EndAttempt(1, AttemptOutcome::kUnknown);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<StartAttempt>(actions[0]).attempt, 2);
}

// Guards against using more slots of an executor than are assigned to this entry.
TEST_F(DispatcherTest, SlotsAreNotExceeded) {
  EXPECT_EQ(Arrive(1, "tally").size(), 1u);
  EXPECT_TRUE(Arrive(2, "tally").empty());
  EXPECT_EQ(EndAttempt(1, AttemptOutcome::kAnswered).size(), 2u);
}

// Guards against new requests to a backend server that is leaving.
TEST_F(DispatcherTest, LeavingExecutorReceivesNoNewWork) {
  SetExecutors(
      {{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 8, .leaving = true}});
  EXPECT_TRUE(Arrive(1, "tally").empty());
}

// Guards against losing count of the attempts of an executor that leaves the list. Its slots would
// be used twice when it comes back, and its drain would be reported complete while an attempt runs.
TEST_F(DispatcherTest, AttemptsOfAnExecutorThatDisappearsStayKnown) {
  ASSERT_EQ(Arrive(1, "tally").size(), 1u);
  SetExecutors({});
  ASSERT_EQ(m_dispatcher.ReadExecutors().size(), 1u);
  EXPECT_EQ(m_dispatcher.ReadExecutors()[0].in_use, 1);
  SetExecutors({{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 1}});
  EXPECT_TRUE(Arrive(2, "tally").empty());
  SetExecutors({});
  EXPECT_EQ(EndAttempt(1, AttemptOutcome::kAnswered).size(), 1u);
  EXPECT_TRUE(m_dispatcher.ReadExecutors().empty());
}

// Guards against the verdict "not run" for a request whose earlier attempt may have run.
TEST_F(DispatcherTest, RequestThatMayHaveRunIsNeverReportedAsNotRun) {
  ASSERT_EQ(Arrive(1, "manifest").size(), 1u);
  m_now += 1s;
  SetExecutors({});
  EXPECT_TRUE(EndAttempt(1, AttemptOutcome::kUnknown).empty());
  m_now += 2min;
  const auto actions = m_dispatcher.Handle(Tick{}, m_now);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<EndRequest>(actions[0]).verdict, Verdict::kUnknown);
}

// Guards against a change of the policy that removes the queue or team of a request: a waiting
// request must be ended with a reason, and a running one must not be retried.
TEST_F(DispatcherTest, RemovalFromThePolicyEndsWaitingRequests) {
  for (RequestNumber number = 1; number <= 3; ++number) Arrive(number, "manifest");
  Policy policy;
  policy.queues[QueueName("manifest")] = {.pool = PoolName("billing"), .idempotent = true};
  policy.teams[TeamName("other")] = {};
  const auto without_team = m_dispatcher.Handle(PolicyChanged{policy}, m_now);
  ASSERT_EQ(without_team.size(), 2u);
  EXPECT_EQ(std::get<EndRequest>(without_team[0]).reason,
            "the team was removed from the configuration");
  m_dispatcher.Handle(PolicyChanged{}, m_now);
  const auto ended = EndAttempt(1, AttemptOutcome::kNotRun);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(std::get<EndRequest>(ended[0]).verdict, Verdict::kNotRun);
  EXPECT_EQ(std::get<EndRequest>(Arrive(4, "manifest")[0]).reason, "unknown queue");
}

// Guards against refusing new requests because the queue is full of requests that can no longer
// meet their deadlines.
TEST_F(DispatcherTest, FullQueueDropsWhatMissesItsDeadline) {
  Policy policy;
  policy.queues[QueueName("tally")] = {.pool = PoolName("billing"), .max_queued = 1};
  m_dispatcher.Handle(PolicyChanged{policy}, m_now);
  RequestNumber number = 0;
  for (int i = 0; i < 8; ++i) {
    Arrive(++number, "tally");
    m_now += 20s;
    EndAttempt(number, AttemptOutcome::kAnswered);
  }
  Arrive(++number, "tally");
  const RequestNumber waiting = ++number;
  m_dispatcher.Handle(
      RequestArrived{
          {.number = waiting, .queue = QueueName("tally"), .team{}, .deadline = m_now + 25s}},
      m_now);
  EXPECT_EQ(std::get<EndRequest>(Arrive(++number, "tally")[0]).reason, "the queue is full");
  m_now += 15s;
  const auto actions = Arrive(++number, "tally");
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<EndRequest>(actions[0]).number, waiting);
}

// Guards against ejecting executors because of a request that fails on all of them. The request
// must be tried on different executors and end after three of them.
TEST_F(DispatcherTest, JobThatFailsOnThreeHealthyExecutorsCanNeverRun) {
  SetExecutors({{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 8},
                {.id = InstanceId("i2"), .pool = PoolName("billing"), .slots = 8},
                {.id = InstanceId("i3"), .pool = PoolName("billing"), .slots = 8}});
  for (RequestNumber number = 101; number <= 109; ++number) {
    Arrive(number, "manifest");
    EndAttempt(number, AttemptOutcome::kAnswered);
  }
  for (RequestNumber number = 1; number <= 10; ++number) {
    std::set<InstanceId> tried;
    auto actions = Arrive(number, "manifest");
    for (int attempt = 0; attempt < 3; ++attempt) {
      ASSERT_EQ(actions.size(), 1u);
      tried.insert(std::get<StartAttempt>(actions[0]).executor);
      m_now += 2s;
      actions = EndAttempt(number, AttemptOutcome::kFailed);
    }
    EXPECT_EQ(tried.size(), 3u);
    EXPECT_EQ(std::get<EndRequest>(actions[0]).verdict, Verdict::kFailed);
    EXPECT_EQ(std::get<EndRequest>(actions[0]).reason,
              "can never run: it failed on 3 different healthy executors");
  }
}

// Guards against a retry on the executor that has just failed the request. It is the only one with
// a free slot, but another could take the request soon.
TEST_F(DispatcherTest, RetryWaitsForAnotherExecutor) {
  SetExecutors({{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 1},
                {.id = InstanceId("i2"), .pool = PoolName("billing"), .slots = 1}});
  const auto first = std::get<StartAttempt>(Arrive(1, "manifest")[0]);
  const auto second = std::get<StartAttempt>(Arrive(2, "manifest")[0]);
  EXPECT_TRUE(EndAttempt(1, AttemptOutcome::kFailed).empty());
  EXPECT_EQ(std::get<StartAttempt>(Arrive(3, "manifest")[0]).executor, first.executor);
  const auto actions = EndAttempt(2, AttemptOutcome::kAnswered);
  ASSERT_EQ(actions.size(), 2u);
  EXPECT_EQ(std::get<StartAttempt>(actions[1]).number, 1u);
  EXPECT_EQ(std::get<StartAttempt>(actions[1]).executor, second.executor);
}

// Guards against ending a request because of failures on executors that fail every request.
TEST_F(DispatcherTest, FailuresOfFaultyExecutorsDoNotCountAgainstTheRequest) {
  std::vector<ExecutorState> executors;
  for (const char* id : {"s1", "s2", "s3", "h1", "h2", "h3", "h4"}) {
    executors.push_back({.id = InstanceId(id), .pool = PoolName("billing"), .slots = 8});
  }
  SetExecutors(executors);
  const auto is_faulty = [](const InstanceId& id) { return id.view().starts_with('s'); };
  RequestNumber number = 0;
  for (int i = 0; i < 400; ++i) {
    auto actions = Arrive(++number, "manifest");
    while (const auto* start = std::get_if<StartAttempt>(&actions.at(0))) {
      m_now += 500ms;
      actions = EndAttempt(
          number, is_faulty(start->executor) ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered);
    }
    EXPECT_EQ(std::get<EndRequest>(actions.at(0)).verdict, Verdict::kAnswered);
  }
}

// Guards against ejecting an executor because many callers have gone away and ended their attempts.
TEST_F(DispatcherTest, CancelledAttemptsDoNotJudgeTheExecutor) {
  SetExecutors({{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 8},
                {.id = InstanceId("i2"), .pool = PoolName("billing"), .slots = 1}});
  Arrive(1, "tally");
  Arrive(2, "tally");  // i2 is in use from here on.
  for (RequestNumber number = 3; number <= 40; ++number) {
    ASSERT_EQ(std::get<StartAttempt>(Arrive(number, "manifest").at(0)).executor.view(), "i1");
    EXPECT_TRUE(m_dispatcher.Handle(RequestCancelled{number}, m_now).empty());
    EXPECT_TRUE(EndAttempt(number, AttemptOutcome::kUnknown).empty());
  }
}

// Guards against a team that exceeds its limit, also when one of its running requests is cancelled:
// the attempt counts until it ends. The limit must not delay other teams or leave slots unused.
TEST_F(DispatcherTest, TeamAtItsLimitWaitsWhileOthersGoOn) {
  SetExecutors({{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 3}});
  Policy policy;
  policy.queues[QueueName("tally")] = {.pool = PoolName("billing")};
  policy.queues[QueueName("photo")] = {.pool = PoolName("photos")};
  policy.teams[TeamName("t")] = {.max_in_flight = 1};
  policy.teams[TeamName("other")] = {};
  m_dispatcher.Handle(PolicyChanged{policy}, m_now);
  EXPECT_EQ(Arrive(1, "tally").size(), 1u);
  EXPECT_TRUE(Arrive(2, "tally").empty());
  EXPECT_EQ(Arrive(3, "tally", "other").size(), 1u);
  EXPECT_EQ(Arrive(4, "tally", "other").size(), 1u) << "the waiting team leaves no slot unused";
  EndAttempt(4, AttemptOutcome::kAnswered);
  EXPECT_TRUE(m_dispatcher.Handle(RequestCancelled{1}, m_now).empty());
  const auto resumed = EndAttempt(1, AttemptOutcome::kWithdrawn);
  ASSERT_EQ(resumed.size(), 1u);
  EXPECT_EQ(std::get<StartAttempt>(resumed[0]).number, 2u);
  EXPECT_TRUE(Arrive(5, "tally").empty());
  policy.teams[TeamName("t")].max_in_flight = 2;
  EXPECT_EQ(m_dispatcher.Handle(PolicyChanged{policy}, m_now).size(), 1u);
}

// Guards against starving the requests of a team in one pool. This happens when another pool starts
// a request of the team each time the team falls below its limit. A retry that waits while its team
// is at the limit must not be lost either.
TEST_F(DispatcherTest, PoolsTakeTurnsWithinTheLimitOfATeam) {
  SetExecutors({{.id = InstanceId("i1"), .pool = PoolName("billing"), .slots = 4},
                {.id = InstanceId("i2"), .pool = PoolName("photos"), .slots = 4}});
  Policy policy;
  policy.queues[QueueName("manifest")] = {.pool = PoolName("billing"), .idempotent = true};
  policy.queues[QueueName("photo")] = {.pool = PoolName("photos")};
  policy.teams[TeamName("t")] = {.max_in_flight = 1};
  m_dispatcher.Handle(PolicyChanged{policy}, m_now);
  for (RequestNumber number = 1; number <= 3; ++number) Arrive(number, "manifest");
  Arrive(4, "photo");
  const auto next = EndAttempt(1, AttemptOutcome::kUnknown);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(std::get<StartAttempt>(next[0]).number, 4u);
  std::set<RequestNumber> answered{4};
  auto actions = EndAttempt(4, AttemptOutcome::kAnswered);
  while (actions.size() == 2u) {
    const RequestNumber number = std::get<StartAttempt>(actions[1]).number;
    answered.insert(number);
    actions = EndAttempt(number, AttemptOutcome::kAnswered);
  }
  EXPECT_EQ(answered, (std::set<RequestNumber>{1, 2, 3, 4}));
  EXPECT_EQ(m_dispatcher.queued() + m_dispatcher.running(), 0u);
}

// Guards against a team that uses a queue which the policy does not allow it, and against retries
// of a request after its team has lost access to the queue.
TEST_F(DispatcherTest, TeamUsesOnlyItsQueues) {
  Policy policy;
  policy.queues[QueueName("tally")] = {.pool = PoolName("billing")};
  policy.queues[QueueName("manifest")] = {.pool = PoolName("billing"), .idempotent = true};
  policy.teams[TeamName("t")] = {.queues = {QueueName("manifest")}};
  m_dispatcher.Handle(PolicyChanged{policy}, m_now);
  const auto refused = Arrive(1, "tally");
  ASSERT_EQ(refused.size(), 1u);
  ASSERT_TRUE(std::holds_alternative<EndRequest>(refused[0]));
  EXPECT_EQ(std::get<EndRequest>(refused[0]).verdict, Verdict::kNotRun);
  EXPECT_EQ(std::get<EndRequest>(refused[0]).reason, "the team may not use this queue");
  ASSERT_EQ(Arrive(2, "manifest").size(), 1u);
  EXPECT_TRUE(Arrive(3, "manifest").empty());
  policy.teams[TeamName("t")] = {.queues = {QueueName("tally")}};
  EXPECT_EQ(m_dispatcher.Handle(PolicyChanged{policy}, m_now).size(), 1u)
      << "request 3 was waiting and ends";
  const auto ended = EndAttempt(2, AttemptOutcome::kUnknown);
  ASSERT_EQ(ended.size(), 1u);
  ASSERT_TRUE(std::holds_alternative<EndRequest>(ended[0]));
  EXPECT_EQ(std::get<EndRequest>(ended[0]).verdict, Verdict::kUnknown);
}

}  // namespace
}  // namespace citronferry::dispatch
