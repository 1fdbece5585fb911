// Calls to executors that restart under their id, over real connections.
#include "platform/internal/executors.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/server.h"
#include "json/reader.h"
#include "supervision/awaitables.h"
#include "supervision/task_scope.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::platform {
namespace {

using fleet::HoldCall;
using fleet::HoldOutcome;
using fleet::HoldResult;
using scheduling::StartAnswer;

constexpr int64_t kFirstIncarnation = 1000;
constexpr int64_t kSecondIncarnation = 2000;

/// An executor on a real socket, which each incarnation binds anew.
class ExecutorProcess {
 public:
  struct ReceivedCall {
    int64_t incarnation = 0;  ///< Which received it.
    std::string path;
    std::string body;
  };

  ExecutorProcess() : m_timers(MakeQtTimerService()) {}
  ~ExecutorProcess() { Stop(); }

  /// Ends the present incarnation, with its connections, and starts the next one.
  void Run(int64_t incarnation) {
    Stop();
    m_incarnation = incarnation;
    m_server = std::make_unique<http::Server>(
        *m_timers,
        http::ServerOptions{.address = QHostAddress(QHostAddress::LocalHost),
                            .port = m_port,
                            .drain_timeout = Duration::zero()},
        [this](http::Request request) -> QCoro::Task<http::Response> {
          if (request.path == "/v1/run-start")
            co_await SleepFor(*m_timers, start_delay, request.abandoned.get());
          co_return Answer(request);
        });
    ASSERT_TRUE(m_server->Listen().ok());
    m_port = m_server->port();
    m_tasks.Spawn([server = m_server.get()]() -> QCoro::Task<void> {
      static_cast<void>(co_await server->Run());
    });
  }

  fleet::ExecutorAddress address(std::optional<int64_t> incarnation) const {
    return {.id = scheduling::ExecutorId("x"),
            .address = "127.0.0.1:" + std::to_string(m_port),
            .incarnation_unix_ms = incarnation};
  }
  int CountOf(std::string_view path) const {
    return static_cast<int>(std::count_if(
        calls.begin(), calls.end(), [&](const ReceivedCall& call) { return call.path == path; }));
  }

  std::vector<ReceivedCall> calls;
  Duration start_delay{};  ///< Before a start is answered.
  bool fences = false;     ///< Calls are rejected for their fencing token.

 private:
  http::Response Answer(const http::Request& request) {
    calls.push_back(
        {.incarnation = m_incarnation, .path = request.path, .body = request.body.toStdString()});
    if (fences) return {.status = 409, .body = R"({"clockMs":5,"reason":"fence"})"};
    const std::string report = R"({"clockMs":5,"born":)" + std::to_string(m_incarnation) + "}";
    return {.body = QByteArray::fromStdString(request.path == "/v1/hold" ? report
                                                                         : R"({"clockMs":5})")};
  }

  void Stop() {
    if (!m_server) return;
    // A handler ends when its caller has gone.
    EXPECT_TRUE(ProcessEventsUntil([&] { return m_server->in_flight() == 0; }));
    m_server->Stop();
    EXPECT_TRUE(ProcessEventsUntil([&] { return m_tasks.running() == 0; }));
    m_server.reset();
  }

  std::unique_ptr<TimerService> m_timers;
  TaskScope m_tasks;
  std::unique_ptr<http::Server> m_server;
  quint16 m_port = 0;
  int64_t m_incarnation = 0;
};

class ExecutorCallsTest : public ::testing::Test {
 protected:
  ExecutorCallsTest() {
    TestApplication();
    m_process.Run(kFirstIncarnation);
  }

  StartAnswer Start(std::optional<int64_t> incarnation, Duration timeout = 2s) {
    std::optional<StartAnswer> answer;
    m_tasks.Spawn(
        [&]() -> QCoro::Task<void> { answer = co_await SendStart(incarnation, timeout); });
    EXPECT_TRUE(ProcessEventsUntil([&] { return m_tasks.running() == 0; }));
    return answer.value_or(StartAnswer::kUnknown);
  }

  QCoro::Task<StartAnswer> SendStart(std::optional<int64_t> incarnation, Duration timeout) {
    const scheduling::StartOrder order{.executor = scheduling::ExecutorId("x"),
                                       .task = {.job = JobId("5c0e7a21d94b36f8")},
                                       .run = 1,
                                       .definition = std::make_shared<scheduling::JobDefinition>(
                                           scheduling::JobDefinition{.payload = "p"})};
    const fleet::StartCall call{
        .order = order, .lease_until_ms = 9000, .fencing_token = 7, .timeout = timeout};
    const fleet::StartResult result =
        co_await m_executors.Start(m_process.address(incarnation), call);
    co_return result.answer;
  }

  static void ProcessEventsFor(Duration duration) {
    const auto timers = MakeQtTimerService();
    const TimePoint end = timers->Now() + duration;
    EXPECT_TRUE(ProcessEventsUntil([&] { return timers->Now() >= end; }));
  }

  HoldResult Hold(std::optional<int64_t> incarnation) {
    HoldResult result;
    m_tasks.Spawn([&]() -> QCoro::Task<void> {
      const HoldCall call{
          .lease_until_ms = 9000, .fencing_token = 7, .acknowledged_end = 3, .timeout = 2s};
      result = co_await m_executors.Hold(m_process.address(incarnation), call);
    });
    EXPECT_TRUE(ProcessEventsUntil([&] { return m_tasks.running() == 0; }));
    return result;
  }

  const std::unique_ptr<TimerService> m_timers = MakeQtTimerService();
  ExecutorProcess m_process;
  http::Client m_client;
  HttpExecutors m_executors{m_client};
  TaskScope m_tasks;
};

// Guards against two runs of a task (TWICE): an executor restarts, and a start that was decided on
// before reaches the next incarnation on a new connection, before that knows a token.
TEST_F(ExecutorCallsTest, StartForAnEndedIncarnationIsNotSent) {
  EXPECT_EQ(Start(kFirstIncarnation), StartAnswer::kStarted);
  m_process.Run(kSecondIncarnation);
  EXPECT_NE(Start(kFirstIncarnation), StartAnswer::kStarted);
  EXPECT_EQ(Start(kFirstIncarnation), StartAnswer::kNotSent);
  for (const auto& call : m_process.calls) {
    EXPECT_FALSE(call.incarnation == kSecondIncarnation && call.path == "/v1/run-start");
  }
  EXPECT_EQ(Start(kSecondIncarnation), StartAnswer::kStarted);
}

// Guards against an end that nobody has seen and that is acknowledged (TWICE), and against a lease
// on the clock of the previous incarnation: the first call on a connection has no effect.
TEST_F(ExecutorCallsTest, FirstHoldOnAConnectionHasNoTerms) {
  EXPECT_EQ(Hold(kFirstIncarnation).outcome, HoldOutcome::kReported);
  EXPECT_EQ(Hold(kFirstIncarnation).outcome, HoldOutcome::kReported);
  m_process.Run(kSecondIncarnation);
  Hold(kFirstIncarnation);  // The kept-alive connection may turn out to be closed.
  const HoldResult after = Hold(kFirstIncarnation);
  EXPECT_EQ(after.report.incarnation_unix_ms, kSecondIncarnation);
  bool extended = false;
  for (const auto& call : m_process.calls) {
    const auto body = json::Parse(call.body);
    ASSERT_TRUE(body.ok());
    json::ObjectReader reader(body.value());
    const bool has_terms = reader.Integer("deadlineMs") != 0 || reader.Integer("lastSeen") != 0;
    EXPECT_FALSE(has_terms && call.incarnation == kSecondIncarnation);
    extended |= has_terms;
  }
  EXPECT_TRUE(extended);
}

// Guards against a copy of a task that starts more than a second after its end was listed (TWICE):
// a start waited for the identification of its connection while the process was busy, and was sent
// although its time was over.
TEST_F(ExecutorCallsTest, StartIsNotSentAfterItsTimeout) {
  m_client.SetObserver([](const http::ExchangeRecord&) { QThread::msleep(300); });
  EXPECT_EQ(Start(kFirstIncarnation, 200ms), StartAnswer::kNotSent);
  ProcessEventsFor(200ms);
  EXPECT_EQ(m_process.CountOf("/v1/hold"), 1);
  EXPECT_EQ(m_process.CountOf("/v1/run-start"), 0);
  m_client.SetObserver({});
  EXPECT_EQ(Start(kFirstIncarnation, 200ms), StartAnswer::kStarted);
}

// Guards against a hold before each start: connections on which the incarnation has answered are
// kept.
TEST_F(ExecutorCallsTest, IncarnationIsIdentifiedOncePerConnection) {
  for (int i = 0; i < 5; ++i) ASSERT_EQ(Start(kFirstIncarnation), StartAnswer::kStarted);
  EXPECT_EQ(m_process.CountOf("/v1/run-start"), 5);
  EXPECT_EQ(m_process.CountOf("/v1/hold"), 1);
  EXPECT_EQ(m_client.opened_connections(), 1u);
}

// Guards against leases that run out although the executor answers each hold (TWICE and LOST in
// bursts): starts without a response take the connection on which a hold could have extended it.
TEST_F(ExecutorCallsTest, StartsWithoutAResponseDoNotKeepHoldsFromHavingTerms) {
  // As an owner with two queues of orders, whose commits take longer than its starts.
  constexpr Duration kStartTimeout = 50ms;
  constexpr Duration kPauseBetweenHolds = 65ms;
  constexpr int kHolds = 20;
  m_process.start_delay = 10s;
  bool done = false;
  for (int queue = 0; queue < 2; ++queue) {
    m_tasks.Spawn([&]() -> QCoro::Task<void> {
      while (!done) static_cast<void>(co_await SendStart(kFirstIncarnation, kStartTimeout));
    });
  }
  int reported = 0;
  m_tasks.Spawn([&]() -> QCoro::Task<void> {
    for (int i = 0; i < kHolds; ++i) {
      const HoldCall call{
          .lease_until_ms = 9000, .fencing_token = 7, .acknowledged_end = 3, .timeout = 600ms};
      const HoldResult result =
          co_await m_executors.Hold(m_process.address(kFirstIncarnation), call);
      if (result.outcome == HoldOutcome::kReported) ++reported;
      co_await SleepFor(*m_timers, kPauseBetweenHolds);
    }
    done = true;
  });
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_tasks.running() == 0; }));
  EXPECT_EQ(reported, kHolds);
  const auto extended =
      std::count_if(m_process.calls.begin(), m_process.calls.end(), [](const auto& call) {
        return call.path == "/v1/hold" && call.body.find("deadlineMs") != std::string::npos;
      });
  EXPECT_GE(extended, kHolds / 2);
}

// Guards against a deposed owner that does not learn of its successor: the executor rejects the
// token of the hold that identifies it, and the owner goes on placing tasks there.
TEST_F(ExecutorCallsTest, FenceThatTheIdentificationMeetsIsReported) {
  m_process.fences = true;
  EXPECT_EQ(Start(kFirstIncarnation), StartAnswer::kFenced);
}

}  // namespace
}  // namespace citronferry::platform
