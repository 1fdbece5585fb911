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

}  // namespace
}  // namespace citronferry::scheduling
