// Starts that had no response and are carried out after their runs were given up.
#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

const TaskId kTask{.job = JobId("b")};

class UnansweredStartsTest : public ::testing::Test {
 protected:
  UnansweredStartsTest() {
    for (auto& [id, executor] : m_pool.executors()) executor.judges_starts_by_its_lease = true;
    m_pool.Run(100ms);
  }

  /// Starts a long task on the first executor, which leaves the start unanswered.
  void StartUnanswered(Duration lateness) {
    m_pool.scheduler().SetCordoned(ExecutorId("x1"), true);
    m_pool.lateness = lateness;
    first().delays_starts = true;
    m_pool.Submit(MakeJob("b", {MakeStep(1, 1000, 60s)}));
    m_pool.Step();
    first().delays_starts = false;
    m_pool.scheduler().SetCordoned(ExecutorId("x1"), false);
  }

  FakeExecutor& first() { return m_pool.executor("x0"); }

  FakePool m_pool{2};
};

// Guards against two runs of a task (TWICE): a start is given up with the lease of its executor,
// which carries it out after it was given a new lease.
TEST_F(UnansweredStartsTest, StartThatOutlivesALeaseIsRejected) {
  StartUnanswered(9s);
  first().reachable = false;
  m_pool.Run(7s);
  EXPECT_EQ(m_pool.CopiesOf(kTask), 1) << "the task was not placed again";
  first().reachable = true;
  m_pool.Run(5s);
  EXPECT_LE(m_pool.most_copies, 1);
}

// Guards against a gang that waits for a member whose start had no response and was not carried out
// (GANG): the other members end alone.
TEST_F(UnansweredStartsTest, GangIsStoppedWhenAMemberCannotStart) {
  StepSpec step = MakeStep(2, 3000, 60s);
  step.gang_scheduled = true;
  step.max_per_executor = 1;
  m_pool.Submit(MakeJob("b", {step}));
  const Orders orders = m_pool.scheduler().Plan(m_pool.now());
  ASSERT_EQ(orders.starts.size(), 2u);
  FakeExecutor& executor = m_pool.executor(orders.starts[0].executor.view());
  ASSERT_EQ(executor.Start(orders.starts[0], 1, m_pool.now(), m_pool.now() + 5s),
            StartAnswer::kStarted);
  m_pool.scheduler().OnStartAnswer(orders.starts[0], StartAnswer::kStarted, m_pool.now());
  m_pool.scheduler().OnStartAnswer(orders.starts[1], StartAnswer::kUnknown, m_pool.now());
  m_pool.Run(500ms);
  EXPECT_EQ(m_pool.starts[orders.starts[0].task], 1) << "the gang was not started again";
  EXPECT_EQ(m_pool.starts[orders.starts[1].task], 1);
}

// Guards against starting a task again after its end (TWICE, kth-windhoek-grown in bursts): the
// executor listed the end to a relay, whose result the overloaded owner did not wait for, and the
// lease expired while the owner was slow.
TEST_F(UnansweredStartsTest, ExecutorIsAskedAfterItsLeaseBeforeItsTasksStartElsewhere) {
  m_pool.Submit(MakeJob("b", {MakeStep(1, 1000, 300ms)}));
  m_pool.Run(60ms);
  const std::string holder = first().Runs(kTask) ? "x0" : "x1";
  PoolScheduler& scheduler = m_pool.scheduler();
  scheduler.OnNoAnswer(ExecutorId(holder), m_pool.now());
  m_pool.executor(holder).Advance(m_pool.now() + 1s);
  scheduler.Advance(m_pool.now() + 6s, 0);
  EXPECT_TRUE(scheduler.Plan(m_pool.now() + 6s).starts.empty()) << "the task was started again";
  EXPECT_EQ(scheduler.FindExecutor(ExecutorId(holder))->runs.size(), 1u);
  scheduler.OnNoAnswer(ExecutorId(holder), m_pool.now() + 6s);
  scheduler.Advance(m_pool.now() + 7s, 0);
  EXPECT_EQ(scheduler.Plan(m_pool.now() + 7s).starts.size(), 1u);
}

// Guards against the same when the owner first notices the silence after the lease: a call to an
// executor that seems to respond has a short time-out, which a slow owner exceeds.
TEST_F(UnansweredStartsTest, FirstCallWithoutAResponseDoesNotDecideAfterTheLease) {
  m_pool.Submit(MakeJob("b", {MakeStep(1, 1000, 300ms)}));
  m_pool.Run(60ms);
  const std::string holder = first().Runs(kTask) ? "x0" : "x1";
  PoolScheduler& scheduler = m_pool.scheduler();
  scheduler.OnNoAnswer(ExecutorId(holder), m_pool.now() + 6s);
  scheduler.Advance(m_pool.now() + 7s, 0);
  EXPECT_TRUE(scheduler.Plan(m_pool.now() + 7s).starts.empty()) << "the task was started again";
  EXPECT_EQ(scheduler.FindExecutor(ExecutorId(holder))->runs.size(), 1u);
  scheduler.OnNoAnswer(ExecutorId(holder), m_pool.now() + 7s);
  scheduler.Advance(m_pool.now() + 8s, 0);
  EXPECT_EQ(scheduler.Plan(m_pool.now() + 8s).starts.size(), 1u);
}

}  // namespace
}  // namespace citronferry::scheduling
