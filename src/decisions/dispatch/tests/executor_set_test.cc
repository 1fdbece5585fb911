#include "decisions/dispatch/internal/executor_set.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>

namespace citronferry::dispatch {
namespace {

class ExecutorSetTest : public ::testing::Test {
 protected:
  ExecutorSetTest() {
    for (int i = 0; i < 4; ++i) {
      m_executors.push_back({.id = InstanceId("i" + std::to_string(i)), .slots = 8});
      m_set.Add(m_executors.back(), m_now);
    }
  }
  void RecordOutcome(size_t index, bool success, int times) {
    for (int i = 0; i < times; ++i) m_set.RecordOutcome(m_executors[index], success, m_now);
  }
  int CountEjected() const {
    int ejected = 0;
    for (const Executor& executor : m_executors) ejected += executor.health.IsEjected() ? 1 : 0;
    return ejected;
  }

  TimePoint m_now{100s};
  std::deque<Executor> m_executors;
  ExecutorSet m_set;
};

// Guards against ejecting a whole pool because of a failure whose cause lies outside the executors.
// Executors that were ejected before most of the pool failed must be reinstated.
TEST_F(ExecutorSetTest, CorrelatedFailureEjectsNobody) {
  RecordOutcome(0, false, 10);
  RecordOutcome(1, false, 10);
  EXPECT_EQ(CountEjected(), 2);
  RecordOutcome(2, false, 10);
  EXPECT_EQ(CountEjected(), 0);
  EXPECT_EQ(m_set.capacity(), 32);
  RecordOutcome(3, false, 10);
  EXPECT_EQ(CountEjected(), 0);
  for (size_t i = 0; i < 4; ++i) RecordOutcome(i, true, 10);
  EXPECT_EQ(m_set.capacity(), 32);
}

// Guards against an ejected executor that is never probed, or that gets all its slots back after a
// single success.
TEST_F(ExecutorSetTest, EjectedExecutorIsProbedAndRecoversInSteps) {
  RecordOutcome(0, false, 5);
  EXPECT_EQ(m_set.capacity(), 24);
  EXPECT_NE(m_set.Choose({.may_probe = true}, m_now), &m_executors[0]);
  m_now += 2s;
  m_set.ProcessDuePauses(m_now);
  EXPECT_EQ(m_set.Choose({.may_probe = true}, m_now), &m_executors[0]);
  EXPECT_NE(m_set.Choose({.may_probe = false}, m_now), &m_executors[0]);
  RecordOutcome(0, true, 1);
  EXPECT_EQ(m_set.capacity(), 26);
  RecordOutcome(0, true, 2);
  EXPECT_EQ(m_set.capacity(), 28);
  RecordOutcome(0, true, 4);
  EXPECT_EQ(m_set.capacity(), 32);
}

// Guards against a constant probe interval for an executor that keeps failing: the pause doubles
// from 2 s to 4 s.
TEST_F(ExecutorSetTest, FailedProbesLengthenThePause) {
  RecordOutcome(0, false, 5);
  m_now += 2s;
  RecordOutcome(0, false, 1);
  m_now += 3s;
  m_set.ProcessDuePauses(m_now);
  EXPECT_EQ(m_set.capacity(), 24);
  m_now += 1s;
  m_set.ProcessDuePauses(m_now);
  EXPECT_EQ(m_set.capacity(), 25);
}

// Guards against an executor that attracts requests by failing fast before it is ejected. Its
// failures have to lower its rank as load does.
TEST_F(ExecutorSetTest, FailuresWeighLikeLoad) {
  RecordOutcome(0, false, 1);
  for (int i = 0; i < 9; ++i) {
    Executor* chosen = m_set.Choose({}, m_now);
    ASSERT_NE(chosen, &m_executors[0]);
    m_set.Occupy(*chosen, true, m_now);
  }
}

}  // namespace
}  // namespace citronferry::dispatch
