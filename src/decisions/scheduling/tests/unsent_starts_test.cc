// Starts that the owner could not send, and what planning does with their tasks.
#include <gtest/gtest.h>

#include <numeric>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

constexpr int kTasks = 130;  // Of 0.12 cores, on executors of 16 cores.

class UnsentStartsTest : public ::testing::Test {
 protected:
  UnsentStartsTest() { m_pool.Run(100ms); }

  void SubmitBurst() { m_pool.Submit(MakeJob("b", {MakeStep(kTasks, 120, 300ms)})); }
  int orders() const {
    return std::accumulate(m_pool.starts.begin(), m_pool.starts.end(), 0,
                           [](int sum, const auto& entry) { return sum + entry.second; });
  }

  FakePool m_pool{1};
};

// Guards against planning without bound what cannot be sent (LOST, TWICE in bursts): while no
// connection to an executor is identified, each planning ordered all of its tasks again.
TEST_F(UnsentStartsTest, UnsentStartsAreNotOrderedAgainWithoutBound) {
  m_pool.executor("x0").takes_no_starts = true;
  SubmitBurst();
  m_pool.Run(5s);
  EXPECT_LE(orders(), kTasks + 30);
  m_pool.executor("x0").takes_no_starts = false;
  const auto took = m_pool.RunUntilFinal(JobId("b"), 5s);
  ASSERT_TRUE(took);
  // The longest pause, the first starts after it and the tasks themselves.
  EXPECT_LE(*took, 800ms + 200ms + 400ms);
}

// Guards against a queue of orders that are all dropped after their time is over, and queued anew
// (LOST, TWICE in bursts): a link that sent 5 of 130 starts in a second was given the other 125
// again each second.
TEST_F(UnsentStartsTest, LateLinkIsGivenWhatItSendsInTime) {
  m_pool.time_per_start = 200ms;
  SubmitBurst();
  m_pool.Run(10s);
  EXPECT_LE(m_pool.unsent_starts, kTasks + 30);
  const int sent = orders() - m_pool.unsent_starts;
  EXPECT_GE(sent, 45) << "the link has waited for planning";
}

// Guards against a limit where none is needed: a link that keeps up is given a burst at once.
TEST_F(UnsentStartsTest, LinkThatKeepsUpIsGivenABurstAtOnce) {
  m_pool.time_per_start = 2ms;
  SubmitBurst();
  m_pool.Step();
  EXPECT_EQ(orders(), kTasks);
  const auto took = m_pool.RunUntilFinal(JobId("b"), 5s);
  ASSERT_TRUE(took);
  EXPECT_LE(*took, 700ms);
  EXPECT_EQ(m_pool.unsent_starts, 0);
}

// Guards against a task that waits in calm because one start before was not sent.
TEST_F(UnsentStartsTest, FirstUnsentStartIsOrderedAgainAtOnce) {
  m_pool.executor("x0").takes_no_starts = true;
  m_pool.Submit(MakeJob("b", {MakeStep(1, 1000, 300ms)}));
  m_pool.Step();
  ASSERT_EQ(m_pool.unsent_starts, 1);
  m_pool.executor("x0").takes_no_starts = false;
  m_pool.Step();
  EXPECT_EQ(orders(), 2);
  EXPECT_EQ(m_pool.executor("x0").running().size(), 1u);
}

// Guards against a gang that never starts (GANG), since the limit is smaller than the gang.
TEST_F(UnsentStartsTest, GangThatIsLargerThanTheLimitStarts) {
  m_pool.executor("x0").takes_no_starts = true;
  m_pool.Submit(MakeJob("b", {MakeStep(1, 1000, 300ms)}));
  m_pool.Run(100ms);
  m_pool.executor("x0").takes_no_starts = false;
  StepSpec step = MakeStep(8, 1000, 300ms);
  step.gang_scheduled = true;
  m_pool.Submit(MakeJob("c", {step}));
  EXPECT_TRUE(m_pool.RunUntilFinal(JobId("c"), 2s));
}

// Guards against a link that has nothing to send although tasks wait: no other event causes the
// next planning, and starts without a response halved what was sent in a second.
TEST_F(UnsentStartsTest, StartThatLeftTheQueueMakesRoomForTheNext) {
  SubmitBurst();
  PoolScheduler& scheduler = m_pool.scheduler();
  for (const StartOrder& start : scheduler.Plan(m_pool.now()).starts) {
    scheduler.OnStartAnswer(start, StartAnswer::kNotSent, m_pool.now());
  }
  const Orders orders = scheduler.Plan(m_pool.now());
  ASSERT_EQ(orders.starts.size(), 2u);
  ASSERT_FALSE(scheduler.plan_needed());
  scheduler.OnStartUnanswered(orders.starts[0]);
  scheduler.OnStartAnswer(orders.starts[0], StartAnswer::kUnknown, m_pool.now());
  EXPECT_TRUE(scheduler.plan_needed());
}

// Guards against starts that were withdrawn for another reason and count against the executor.
TEST_F(UnsentStartsTest, WithdrawnStartsDoNotLimitTheExecutor) {
  SubmitBurst();
  const Orders orders = m_pool.scheduler().Plan(m_pool.now());
  ASSERT_EQ(orders.starts.size(), static_cast<size_t>(kTasks));
  for (const StartOrder& start : orders.starts) {
    m_pool.scheduler().OnStartAnswer(start, StartAnswer::kWithdrawn, m_pool.now());
  }
  EXPECT_EQ(m_pool.scheduler().Plan(m_pool.now()).starts.size(), static_cast<size_t>(kTasks));
}

// Guards against a log that does not tell why a start was not sent.
TEST(StartRefusedTest, LogHasTheAnswerAndTheReasonInWords) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("b", {MakeStep(2, 1000, 300ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 2u);
  static_cast<void>(pool.scheduler().TakeNotes());
  pool.scheduler().OnStartAnswer(orders.starts[0], StartAnswer::kNotSent, pool.now(), "too old");
  pool.scheduler().OnStartAnswer(orders.starts[1], StartAnswer::kInsufficientCapacity, pool.now());
  const std::vector<SchedulerNote> notes = pool.scheduler().TakeNotes();
  ASSERT_EQ(notes.size(), 2u);
  EXPECT_EQ(notes[0].event, "start_refused");
  EXPECT_EQ(notes[0].detail, "9, not sent: too old");
  EXPECT_EQ(notes[1].detail, "4, insufficient capacity");
}

// Guards against a number of waiting jobs that is too low (MIXED, kth-windhoek-grown mixed-slow
// --seed 72): jobs whose starts were ordered and then refused, withdrawn or lost counted as begun.
TEST_F(UnsentStartsTest, JobsOfWhichNothingHasBegunArePending) {
  FakePool pool(2);
  pool.Run(100ms);
  for (auto& [id, executor] : pool.executors()) executor.takes_no_starts = true;
  for (int i = 0; i < 5; ++i) {
    pool.Submit(MakeJob("job" + std::to_string(i), {MakeStep(2, 1000, 300ms)}));
  }
  pool.Run(300ms);
  const QueueName queue("queue");
  EXPECT_EQ(pool.store().pending[queue], 5);
  pool.TakeOver();
  pool.Run(300ms);
  EXPECT_EQ(pool.store().pending[queue], 5);
  for (auto& [id, executor] : pool.executors()) executor.takes_no_starts = false;
  pool.Run(5s);
  EXPECT_EQ(pool.store().pending[queue], 0);
}

}  // namespace
}  // namespace citronferry::scheduling
