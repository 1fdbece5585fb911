#include <gtest/gtest.h>

#include "supervision/supervisor.h"
#include "supervision/task_scope.h"
#include "supervision/testing/event_loop.h"
#include "supervision/timer_queue.h"

namespace citronferry {
namespace {

/// Service that fails a number of times, then runs until it is stopped.
class FlakyService : public Service {
 public:
  FlakyService(std::string name, int& failures_left, std::vector<std::string>& events)
      : m_name(std::move(name)), m_failures_left(failures_left), m_events(events) {}

  QCoro::Task<Ret> Run() override {
    m_events.push_back("start " + m_name);
    if (m_failures_left > 0) {
      --m_failures_left;
      co_return Ret(ErrorCode::kInternal, "injected");
    }
    co_await m_stopped.Next();
    m_events.push_back("stop " + m_name);
    co_return MakeOk();
  }
  void Stop() override { m_stopped.Close(); }

 private:
  std::string m_name;
  int& m_failures_left;
  std::vector<std::string>& m_events;
  Mailbox<int> m_stopped;
};

class SupervisorTest : public ::testing::Test {
 protected:
  SupervisorTest() { TestApplication(); }

  ChildSpec Child(const std::string& name, int& failures) {
    return {.name = name, .factory = [this, name, &failures] {
              return std::make_unique<FlakyService>(name, failures, m_events);
            }};
  }

  std::unique_ptr<TimerService> m_timers = MakeQtTimerService();
  std::vector<std::string> m_events;
  int m_no_failures = 0;
};

QCoro::Task<void> RunAndRecord(Service& service, std::optional<Ret>& result) {
  result = co_await service.Run();
}

// Guards against a failed child that is not restarted with its later siblings, and against children
// that are not stopped in reverse order.
TEST_F(SupervisorTest, RestForOneRestartsLaterChildrenAndStopsInReverse) {
  int failures = 1;
  Supervisor supervisor(
      *m_timers, {.name = "root", .strategy = RestartStrategy::kRestForOne, .restart_delay = 1ms},
      {Child("a", m_no_failures), Child("b", failures), Child("c", m_no_failures)});
  std::optional<Ret> result;
  RunAndRecord(supervisor, result);
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_events.size() == 6; }));
  supervisor.Stop();
  ASSERT_TRUE(ProcessEventsUntil([&] { return result.has_value(); }));
  EXPECT_TRUE(result->ok());
  EXPECT_EQ(m_events,
            (std::vector<std::string>{"start a", "start b", "start c", "stop c", "start b",
                                      "start c", "stop c", "stop b", "stop a"}));
}

// Guards against endless restarts of a child that always fails.
TEST_F(SupervisorTest, GivesUpAfterTheRestartLimit) {
  int failures = 100;
  Supervisor supervisor(*m_timers, {.name = "root", .max_restarts = 3, .restart_delay = 1ms},
                        {Child("a", failures)});
  std::optional<Ret> result;
  RunAndRecord(supervisor, result);
  ASSERT_TRUE(ProcessEventsUntil([&] { return result.has_value(); }));
  EXPECT_FALSE(result->ok());
  EXPECT_EQ(supervisor.restart_count(), 3);
}

// Pause listeners must run before the timers that are due, so that no timer acts on a lease that
// expired during the pause.
TEST(TimerQueueTest, PauseListenersRunBeforeLateTimers) {
  ManualTimerService timers;
  std::vector<std::string> order;
  Subscription timer = timers.SubscribeOnce(100ms, [&] { order.emplace_back("timer"); });
  Subscription pause = timers.SubscribeToPauses([&](Duration) { order.emplace_back("pause"); });
  timers.Pause(5s);
  EXPECT_EQ(order, (std::vector<std::string>{"pause", "timer"}));
}

// Guards against a callback into a destroyed subscriber.
TEST(TimerQueueTest, EndedSubscriptionDoesNotFire) {
  ManualTimerService timers;
  int fired = 0;
  Subscription subscription = timers.Subscribe(10ms, [&] { ++fired; });
  timers.Advance(25ms);
  subscription = {};
  timers.Advance(1s);
  EXPECT_EQ(fired, 2);
}

// Guards against a scope that is destroyed while its tasks are running: Join must not report
// success before they have ended.
TEST_F(SupervisorTest, TaskScopeJoinWaitsForItsTasks) {
  TaskScope scope;
  Mailbox<int> release;
  scope.Spawn([&release]() -> QCoro::Task<void> { co_await release.Next(); });
  std::optional<Ret> joined;
  TaskScope runner;
  runner.Spawn([&]() -> QCoro::Task<void> { joined = co_await scope.Join(*m_timers, 20ms); });
  ASSERT_TRUE(ProcessEventsUntil([&] { return joined.has_value(); }));
  EXPECT_EQ(joined->code(), ErrorCode::kDeadlineExceeded);
  release.Close();
  ASSERT_TRUE(ProcessEventsUntil([&] { return scope.running() == 0 && runner.running() == 0; }));
}

}  // namespace
}  // namespace citronferry
