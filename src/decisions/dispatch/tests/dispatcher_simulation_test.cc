#include <gtest/gtest.h>

#include <algorithm>

#include "decisions/dispatch/tests/simulation.h"

namespace citronferry::dispatch {
namespace {

class DispatcherSimulationTest : public ::testing::Test {
 protected:
  DispatcherSimulationTest() {
    const PoolName pool("p");
    m_policy.queues[QueueName("urgent")] = {.pool = pool, .priority = Priority::kUrgent};
    m_policy.queues[QueueName("booking")] = {.pool = pool, .idempotent = true};
    m_policy.queues[QueueName("tally")] = {.pool = pool, .priority = Priority::kBatch};
    m_policy.queues[QueueName("watch")] = {
        .pool = pool, .priority = Priority::kWatcher, .wait_limit = 1h};
    m_simulation.Feed(PolicyChanged{m_policy});
    m_simulation.backend = [](const auto&, const auto&) { return Simulation::Result{1s}; };
  }

  template <typename Predicate>
  auto Count(Predicate predicate) const {
    return std::count_if(m_simulation.traces.begin(), m_simulation.traces.end(),
                         [&](const auto& item) { return predicate(item.second); });
  }
  auto CountStarted(std::string_view queue) const {
    return Count([queue](const auto& t) { return t.queue.view() == queue && !t.attempts.empty(); });
  }
  auto CountAttempts(const InstanceId& executor) const {
    size_t attempts = 0;
    for (const auto& [number, trace] : m_simulation.traces) {
      attempts += std::count(trace.attempts.begin(), trace.attempts.end(), executor);
    }
    return attempts;
  }

  Policy m_policy;
  Simulation m_simulation;
};

// Guards against urgent requests that start later than 1.8 s after their arrival, because long
// requests occupy every slot or a surge of other requests is queued ahead. Ten slots receive other
// requests of 30 s at 50 per second.
TEST_F(DispatcherSimulationTest, UrgentWorkStartsInTimeDuringASurge) {
  m_simulation.backend = [](const auto& trace, const auto&) {
    return Simulation::Result{trace.queue.view() == "urgent" ? Duration(500ms) : Duration(30s)};
  };
  m_simulation.SetExecutors(10, 1);
  for (int step = 0; step < 200; ++step) {
    for (int i = 0; i < 5; ++i) m_simulation.Arrive(i % 2 ? "tally" : "booking", "a");
    if (step % 3 == 0) m_simulation.Arrive("urgent", "b", 10s);
    m_simulation.Advance(100ms);
  }
  m_simulation.Advance(10s);
  EXPECT_EQ(CountStarted("urgent"), 67);
  for (const auto& [number, trace] : m_simulation.traces) {
    if (trace.queue.view() != "urgent") continue;
    EXPECT_LE(ToMilliseconds(trace.started - trace.arrived), 1800) << "request " << number;
  }
}

// Guards against starving or losing watcher requests when requests of higher classes arrive faster
// than the pool can serve them.
TEST_F(DispatcherSimulationTest, WatcherWorkIsNotStarved) {
  m_simulation.SetExecutors(2, 4);
  for (const char* queue : {"urgent", "booking"}) {
    const auto started_before = CountStarted("watch");
    for (int step = 0; step < 300; ++step) {
      for (int i = 0; i < 2; ++i) m_simulation.Arrive(queue, "a", 5s);
      if (step < 20) m_simulation.Arrive("watch", "w", 1h);
      m_simulation.Advance(100ms);
    }
    EXPECT_GE(CountStarted("watch") - started_before, 3) << "behind " << queue;
    m_simulation.Advance(1min);
    EXPECT_EQ(CountStarted("watch") - started_before, 20) << "after " << queue;
  }
}

// Guards against a team that gets more than its share of a contended pool, and against capacity
// that stays idle because the team it belongs to has no requests.
TEST_F(DispatcherSimulationTest, TeamsShareByWeightAndLendWhatIsIdle) {
  m_policy.teams[TeamName("a")] = {.weight = 1};
  m_policy.teams[TeamName("b")] = {.weight = 3};
  m_simulation.Feed(PolicyChanged{m_policy});
  m_simulation.SetExecutors(10, 1);
  for (int i = 0; i < 400; ++i) m_simulation.Arrive("booking", "a");
  EXPECT_EQ(m_simulation.dispatcher.running(), 7u) << "all slots but the reserve";
  for (int i = 0; i < 400; ++i) m_simulation.Arrive("booking", "b");
  m_simulation.Advance(20s);
  const auto started_of = [this](std::string_view team) {
    return Count([team](const auto& t) { return t.team.view() == team && !t.attempts.empty(); });
  };
  EXPECT_NEAR(static_cast<double>(started_of("b")) / static_cast<double>(started_of("a") - 7), 3,
              0.4);
}

// Guards against an executor that attracts most requests because it fails fast.
TEST_F(DispatcherSimulationTest, ExecutorThatFailsEverythingGetsLittleWork) {
  const InstanceId faulty("i3");
  m_simulation.backend = [&](const auto&, const InstanceId& executor) {
    if (executor == faulty) return Simulation::Result{1ms, AttemptOutcome::kFailed};
    return Simulation::Result{100ms};
  };
  m_simulation.SetExecutors(5, 2);
  for (int step = 0; step < 600; ++step) {
    for (int i = 0; i < 6; ++i) m_simulation.Arrive("booking", "a");
    m_simulation.Advance(100ms);
  }
  m_simulation.Advance(1s);  // The last requests may still run.
  EXPECT_LE(CountAttempts(faulty), 20u) << "of 3,600 requests";
  EXPECT_EQ(Count([](const auto& t) {
              return t.ends.size() != 1 || t.ends[0].verdict != Verdict::kAnswered;
            }),
            0);
}

// Guards against retries that multiply the load of a pool in which every attempt fails. The budget
// is 10 % of the first attempts, plus a guaranteed burst of three retries and one retry per second.
TEST_F(DispatcherSimulationTest, RetriesStayWithinTheBudget) {
  m_simulation.backend = [](const auto&, const auto&) {
    return Simulation::Result{50ms, AttemptOutcome::kFailed};
  };
  m_simulation.SetExecutors(5, 4);
  for (int step = 0; step < 100; ++step) {
    for (int i = 0; i < 5; ++i) m_simulation.Arrive("booking", "a");
    m_simulation.Advance(100ms);
  }
  size_t attempts = 0;
  for (const auto& [number, trace] : m_simulation.traces) attempts += trace.attempts.size();
  EXPECT_LE(attempts, 500u + 50u + 10u + 3u);
  EXPECT_GE(attempts, 500u + 40u);
}

// Guards against refusing requests because of a declared run time that is too long, and against
// admitting requests that cannot meet their deadline according to observed run times.
TEST_F(DispatcherSimulationTest, RefusesEarlyByLearnedRunTimesOnly) {
  m_policy.queues[QueueName("booking")].declared_run_time = 10min;
  m_policy.queues[QueueName("tally")].declared_run_time = 1ms;
  m_simulation.Feed(PolicyChanged{m_policy});
  m_simulation.backend = [](const auto& trace, const auto&) {
    return Simulation::Result{trace.queue.view() == "tally" ? Duration(4s) : Duration(20ms)};
  };
  m_simulation.SetExecutors(4, 4);
  for (int i = 0; i < 12; ++i) m_simulation.Arrive("tally", "a");
  const RequestNumber possible = m_simulation.Arrive("booking", "a", 5s);
  m_simulation.Advance(5s);
  EXPECT_FALSE(m_simulation.traces[possible].attempts.empty());
  const RequestNumber unmeetable = m_simulation.Arrive("tally", "a", 2s);
  ASSERT_EQ(m_simulation.traces[unmeetable].ends.size(), 1u);
  EXPECT_EQ(m_simulation.traces[unmeetable].ends[0].verdict, Verdict::kNotRun);
  EXPECT_GT(m_simulation.traces[unmeetable].ends[0].retry_after, 0s);
  EXPECT_TRUE(m_simulation.traces[m_simulation.Arrive("tally", "a", 5s)].ends.empty());
  // 100 requests of 4 s on 16 slots take at least 19 s, but delay only their own team.
  for (int i = 0; i < 100; ++i) m_simulation.Arrive("tally", "a", 60s);
  EXPECT_EQ(m_simulation.traces[m_simulation.Arrive("tally", "a", 15s)].ends.size(), 1u);
  EXPECT_TRUE(m_simulation.traces[m_simulation.Arrive("tally", "b", 15s)].ends.empty());
}

}  // namespace
}  // namespace citronferry::dispatch
