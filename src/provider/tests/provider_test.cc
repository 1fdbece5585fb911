#include <gtest/gtest.h>

#include <QJsonDocument>

#include "provider/provider_module.h"
#include "standins/platform/platform_standin.h"
#include "supervision/task_scope.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::provider {
namespace {

class ProviderTest : public ::testing::Test {
 protected:
  ProviderTest() {
    TestApplication();
    m_timers = MakeQtTimerService();
    m_standin = std::make_unique<standin::PlatformStandin>(*m_timers);
    m_server = std::make_unique<http::Server>(
        *m_timers,
        http::ServerOptions{.address = QHostAddress(QHostAddress::LocalHost),
                            .drain_timeout = 100ms},
        [this](http::Request request) -> QCoro::Task<http::Response> {
          ++m_calls;
          http::Response response = co_await m_standin->Handle(std::move(request));
          m_last_status = response.status;
          co_return response;
        });
    EXPECT_TRUE(m_server->Listen().ok());
    m_tasks.Spawn([this]() -> QCoro::Task<void> { static_cast<void>(co_await m_server->Run()); });
    m_platform = std::make_unique<ProviderModule>(ProviderOptions{
        .url = "http://127.0.0.1:" + std::to_string(m_server->port()), .timeout = 300ms});
  }
  ~ProviderTest() override {
    m_server->Stop();
    ProcessEventsUntil([this] { return m_tasks.running() == 0; });
  }

  template <typename T>
  T Await(QCoro::Task<T> task) {
    std::optional<T> result;
    TaskScope scope;
    auto shared = std::make_shared<QCoro::Task<T>>(std::move(task));
    scope.Spawn([&result, shared]() -> QCoro::Task<void> { result = co_await *shared; });
    EXPECT_TRUE(ProcessEventsUntil([&] { return scope.running() == 0; }));
    return std::move(*result);
  }

  void Control(const std::string& method, const std::string& path, const std::string& body) {
    http::Request request{.method = method, .path = path};
    request.body = QByteArray::fromStdString(body);
    static_cast<void>(Await(m_standin->Handle(std::move(request))));
  }
  void SetSwitches(const std::string& json) { Control("PUT", "/standin/switches", json); }

  std::unique_ptr<TimerService> m_timers;
  std::unique_ptr<standin::PlatformStandin> m_standin;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<ProviderModule> m_platform;
  TaskScope m_tasks;
  int m_calls = 0;
  int m_last_status = 0;
};

// Two writers must not both believe that their conditional write took effect: creating an existing
// row and updating a row with an outdated version are conflicts.
TEST_F(ProviderTest, ConditionalWritesDetectOtherWriters) {
  TableService& tables = m_platform->tables();
  const RowKey key{.table = "t", .key = "a/b c"};
  const auto created = Await(tables.Create(key, "1"));
  ASSERT_TRUE(created.ok()) << created.ret().message();
  EXPECT_EQ(Await(tables.Create(key, "2")).code(), ErrorCode::kConflict);
  const auto updated = Await(tables.Update(key, "3", created->version));
  ASSERT_TRUE(updated.ok());
  EXPECT_EQ(Await(tables.Update(key, "4", created->version)).code(), ErrorCode::kConflict);
  EXPECT_EQ(Await(tables.Get(key))->value, "3");
  EXPECT_TRUE(Await(tables.Delete(key, updated->version)).ok());
  EXPECT_EQ(Await(tables.Get(key)).code(), ErrorCode::kNotFound);
  const auto changes = Await(tables.Changes("t", 0));
  ASSERT_EQ(changes->rows.size(), 1u);
  EXPECT_TRUE(changes->rows[0].deleted);
}

// The platform applies a write but its response is lost. The client must report an unknown outcome
// instead of a failure, and must not send the write again.
TEST_F(ProviderTest, LostResponseIsUnknownOutcomeAndNotRetried) {
  SetSwitches("{\"lose_answers\":1}");
  const RowKey key{.table = "t", .key = "k"};
  EXPECT_EQ(Await(m_platform->tables().Create(key, "1")).code(), ErrorCode::kUnknownOutcome);
  EXPECT_EQ(m_calls, 1);
  EXPECT_EQ(Await(m_platform->tables().Get(key))->version, 1u);
}

// The platform stops responding on an open connection. The call must end at its deadline, and the
// next call must use a new connection.
TEST_F(ProviderTest, UnresponsiveConnectionTimesOutAndIsReplaced) {
  ASSERT_TRUE(Await(m_platform->instances().List()).ok());
  SetSwitches("{\"silent\":true}");
  EXPECT_EQ(Await(m_platform->instances().List()).code(), ErrorCode::kUnknownOutcome);
  SetSwitches("{}");
  EXPECT_TRUE(Await(m_platform->instances().List()).ok());
}

// A 503 response means that nothing was written, so it must not be reported as an unknown outcome.
TEST_F(ProviderTest, OutageIsReportedAsUnavailable) {
  SetSwitches("{\"outage\":true}");
  const RowKey key{.table = "t", .key = "k"};
  EXPECT_EQ(Await(m_platform->tables().Create(key, "1")).code(), ErrorCode::kUnavailable);
}

// An unchanged instance list, which is read every second, must be revalidated with 304 instead of
// being transferred again. A changed list must be transferred and returned.
TEST_F(ProviderTest, UnchangedInstanceListIsNotTransferredAgain) {
  Control("PUT", "/standin/instances", "{\"id\":\"i1\",\"address\":\"127.0.0.1:1\"}");
  EXPECT_EQ(Await(m_platform->instances().List())->size(), 1u);
  EXPECT_EQ(m_last_status, 200);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Await(m_platform->instances().List())->size(), 1u);
    EXPECT_EQ(m_last_status, 304);
  }
  Control("PUT", "/standin/instances",
          "{\"id\":\"i1\",\"address\":\"127.0.0.1:1\",\"state\":\"leaving\"}");
  const auto changed = Await(m_platform->instances().List());
  EXPECT_EQ(m_last_status, 200);
  EXPECT_EQ(changed.value().front().state, InstanceState::kLeaving);
}

}  // namespace
}  // namespace citronferry::provider
