#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTcpSocket>

#include "node/gateway/internal/dispatch_work_runner.h"
#include "node/gateway/internal/request_handler.h"
#include "node/gateway/tests/faulty_platform.h"
#include "standins/backend/backend_standin.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::node {
namespace {

using citronferry::testing::Fault;
using citronferry::testing::FaultyPlatform;
using citronferry::testing::SharedTables;

constexpr char kToken[] = "secret";

/// HTTP front end of the backend stand-in that closes some connections instead of responding.
class DroppingBackend {
 public:
  explicit DroppingBackend(TimerService& timers) : m_backend(timers) {
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
      QTcpSocket* socket = m_server.nextPendingConnection();
      auto received = std::make_shared<QByteArray>();
      QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, received] {
        *received += socket->readAll();
        const qsizetype end = received->indexOf("\r\n\r\n");
        if (end < 0 || std::exchange(m_seen[socket], true)) return;
        QPointer<QTcpSocket> peer(socket);
        tasks.Spawn(
            [this, peer, text = *received]() -> QCoro::Task<void> { return Serve(peer, text); });
      });
      QObject::connect(socket, &QObject::destroyed, &m_server,
                       [this, socket] { m_seen.erase(socket); });
    });
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_server.serverPort()); }

  TaskScope tasks;
  int drop_every = 0;  ///< Closes the connection instead of every n-th response; 0 for none.
  OneShot<int>* hold = nullptr;     ///< If set, responses wait for it after the run.
  std::map<std::string, int> runs;  ///< By request identifier.

 private:
  QCoro::Task<void> Serve(QPointer<QTcpSocket> socket, QByteArray text) {
    http::Request request{.method = "POST", .path = "/execute/bill"};
    for (const QByteArray& line : text.split('\n')) {
      const qsizetype colon = line.indexOf(':');
      if (colon < 0) continue;
      request.headers.push_back(
          {line.left(colon).toStdString(), line.mid(colon + 1).trimmed().toStdString()});
    }
    ++runs[std::string(http::FindHeader(request.headers, "Citronferry-Request-Id"))];
    const http::Response response = co_await m_backend.Handle(std::move(request));
    if (hold) co_await hold->Wait();
    if (!socket) co_return;
    if (drop_every > 0 && ++m_answers % drop_every == 0) {
      socket->abort();
      co_return;
    }
    socket->write("HTTP/1.1 " + QByteArray::number(response.status) +
                  " X\r\nConnection: close\r\nContent-Length: " +
                  QByteArray::number(response.body.size()) + "\r\n\r\n" + response.body);
    socket->disconnectFromHost();
  }

  QTcpServer m_server;
  std::map<QTcpSocket*, bool> m_seen;
  standin::BackendStandin m_backend;
  int m_answers = 0;
};

class GatewayTest : public ::testing::Test {
 protected:
  GatewayTest() {
    document::Document document;
    document.services.push_back({.name = ServiceName("s"), .pool = PoolName("p")});
    document.pools.push_back({.name = PoolName("p"), .instances = {InstanceId("i1")}});
    document.queues.push_back({.name = QueueName("bill"), .service = ServiceName("s")});
    document.queues.push_back(
        {.name = QueueName("page"), .service = ServiceName("s"), .idempotent = true});
    document.queues.push_back(
        {.name = QueueName("watch"), .service = ServiceName("s"), .durable = true});
    document.teams.push_back({.name = TeamName("t"), .token_sha256 = Sha256Hex(kToken)});
    m_backend = std::make_unique<DroppingBackend>(*m_timers);
    RosterView roster;
    roster.entries.push_back({.id = EntryId("e1"), .incarnation = "first"});
    m_context->roster.Set(roster);
    ActiveConfiguration configuration{.version = 1};
    configuration.document = std::make_shared<document::Document>(document);
    m_context->configuration.Set(configuration);
    SetInstances(true);
    m_dispatch = std::make_unique<DispatchService>(*m_context);
    m_work = std::make_unique<DispatchWorkRunner>(*m_context, *m_dispatch, m_executors);
    m_handler = std::make_unique<RequestHandler>(*m_context, *m_work, m_ledger, m_jobs);
  }
  ~GatewayTest() override {
    EXPECT_TRUE(ProcessEventsUntil([&] { return m_tasks.running() == 0; }));
    m_tasks.Spawn([this]() -> QCoro::Task<void> { return m_ledger.Finish(100ms); });
    EXPECT_TRUE(ProcessEventsUntil(
        [&] { return m_tasks.running() == 0 && m_backend->tasks.running() == 0; }));
  }

  void SetInstances(bool present) {
    FleetView fleet;
    if (present) {
      fleet.instances.push_back({.id = InstanceId("i1"), .address = m_backend->address()});
      fleet.ownership[InstanceId("i1")] = {.pool = PoolName("p"), .serving = true};
    }
    m_context->fleet.Set(fleet);
  }
  /// Starts a request without waiting for it.
  /// @return the response, which is empty until the request has ended.
  std::shared_ptr<std::optional<http::Response>> Start(http::Request request) {
    auto result = std::make_shared<std::optional<http::Response>>();
    request.headers.push_back({"Authorization", std::string("Bearer ") + kToken});
    m_tasks.Spawn([this, request, result]() -> QCoro::Task<void> {
      *result = co_await m_handler->Handle(request);
    });
    return result;
  }
  http::Response Call(http::Request request) {
    const auto result = Start(std::move(request));
    EXPECT_TRUE(ProcessEventsUntil([&] { return result->has_value(); }));
    return result->value_or(http::Response{});
  }
  static http::Request Post(std::string_view key, std::string_view queue = "bill",
                            QByteArray body = "b") {
    http::Request request{.method = "POST",
                          .path = "/v1/queues/" + std::string(queue) + "/requests",
                          .body = std::move(body)};
    if (!key.empty()) request.headers.push_back({"Idempotency-Key", std::string(key)});
    return request;
  }
  http::Response Show(const std::string& key) {
    return Call({.method = "GET", .path = "/v1/requests/" + key});
  }
  static std::string Outcome(const http::Response& response) {
    return std::string(http::FindHeader(response.headers, "Citronferry-Outcome"));
  }
  int TotalRuns() const {
    int total = 0;
    for (const auto& [id, runs] : m_backend->runs) total += runs;
    return total;
  }

  QCoreApplication& m_application = TestApplication();
  std::unique_ptr<TimerService> m_timers = MakeQtTimerService();
  document::Settings m_settings{.id = EntryId("e1")};
  Metrics m_metrics;
  provider::ProviderModule m_unused{{.url = "http://127.0.0.1:1"}};
  std::unique_ptr<NodeContext> m_context{new NodeContext{.settings = m_settings,
                                                         .timers = *m_timers,
                                                         .metrics = m_metrics,
                                                         .platform = m_unused,
                                                         .incarnation = "first"}};
  std::unique_ptr<DroppingBackend> m_backend;
  SharedTables m_shared;
  FaultyPlatform m_platform{m_shared, *m_timers};
  ExecutorClient m_executors{*m_context};
  std::unique_ptr<DispatchService> m_dispatch;
  std::unique_ptr<DispatchWorkRunner> m_work;
  RequestLedger m_ledger{*m_context, m_platform, m_platform};
  JobEndpoints m_jobs{*m_context, JobStore(m_platform, m_platform)};
  std::unique_ptr<RequestHandler> m_handler;
  TaskScope m_tasks;
};

// Each request is submitted twice, and the backend server closes every second connection after the
// run, before the response. No request may run twice, and none may be reported as not run.
TEST_F(GatewayTest, ThousandRequestsRunOnceWhenTheBackendDropsConnections) {
  constexpr int kRequests = 1000;
  constexpr int kBatch = 100;
  m_backend->drop_every = 2;
  int answered = 0;
  int unknown = 0;
  for (int first = 0; first < kRequests; first += kBatch) {
    std::vector<std::shared_ptr<std::optional<http::Response>>> results;
    for (int i = first; i < first + kBatch; ++i) {
      results.push_back(Start(Post("k" + std::to_string(i))));
      results.push_back(Start(Post("k" + std::to_string(i))));
    }
    ASSERT_TRUE(ProcessEventsUntil([&] {
      return std::all_of(results.begin(), results.end(), [](const auto& r) { return *r; });
    }));
    for (size_t i = 0; i < results.size(); i += 2) {
      const std::string both = Outcome(**results[i]) + "," + Outcome(**results[i + 1]);
      EXPECT_EQ(both.find("not-run"), std::string::npos) << both;
    }
  }
  for (int i = 0; i < kRequests; ++i) {
    const std::string outcome = Outcome(Show("k" + std::to_string(i)));
    answered += outcome == "answered" ? 1 : 0;
    unknown += outcome == "unknown" ? 1 : 0;
  }
  EXPECT_EQ(m_backend->runs.size(), static_cast<size_t>(kRequests));
  EXPECT_EQ(TotalRuns(), kRequests);
  EXPECT_EQ(answered, kRequests / 2);
  EXPECT_EQ(unknown, kRequests / 2);
  EXPECT_EQ(m_shared.overwritten_final_rows, 0);
}

// A repeated request must get the recorded answer instead of a second run. The same key with
// another body must be refused rather than get the answer to the first body.
TEST_F(GatewayTest, RepeatedKeyGetsTheRecordedAnswer) {
  const http::Response first = Call(Post("a", "bill", QByteArray(100000, 'x')));
  EXPECT_EQ(Outcome(first), "answered");
  const http::Response second = Call(Post("a", "bill", QByteArray(100000, 'x')));
  EXPECT_EQ(second.body, first.body);
  EXPECT_EQ(Outcome(second), "answered");
  EXPECT_EQ(Call(Post("a", "bill", "other")).status, 422);
  EXPECT_EQ(TotalRuns(), 1);
  EXPECT_EQ(m_shared.sequence, 2u) << "a request costs two writes";
}

// The write of a claim fails in each possible way, and the table service stays unavailable after
// it. The request must not run, since the response says "not-run", and once the table service is
// back its key must be usable again.
TEST_F(GatewayTest, UnclaimedRequestIsNotRunAndItsKeyCanBeUsedAgain) {
  for (const Fault fault :
       {Fault::kUnavailable, Fault::kResponseLost, Fault::kRequestLost, Fault::kEffectDelayed}) {
    const std::string key = "f" + std::to_string(static_cast<int>(fault));
    int operations = 0;
    // Only the first read and the write reach the table service.
    m_platform.fault = [&operations, fault](bool) {
      ++operations;
      return operations == 1 ? Fault::kNone : operations == 2 ? fault : Fault::kUnavailable;
    };
    const http::Response refused = Call(Post(key));
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(Outcome(refused), "not-run");
    EXPECT_EQ(m_backend->runs.count(key), 0u);
    m_platform.fault = [](bool) { return Fault::kNone; };
    EXPECT_TRUE(ProcessEventsUntil([&] { return Outcome(Call(Post(key))) == "answered"; }));
    EXPECT_EQ(m_backend->runs[key], 1);
  }
}

// A caller disconnects. The outcome of a request that is running must still be recorded, and a
// request that still waits must be cancelled rather than run.
TEST_F(GatewayTest, CallerThatDisconnects) {
  OneShot<int> release;
  m_backend->hold = &release;
  http::Request running = Post("running");
  running.abandoned = std::make_shared<StopSignal>();
  const auto result = Start(running);
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_backend->runs.count("running") == 1; }));
  EXPECT_EQ(Show("running").status, 202);
  running.abandoned->Request();
  release.Set(0);
  ASSERT_TRUE(ProcessEventsUntil([&] { return result->has_value(); }));
  EXPECT_EQ(Outcome(Show("running")), "answered");

  SetInstances(false);
  http::Request waiting = Post("waiting");
  waiting.abandoned = std::make_shared<StopSignal>();
  const auto cancelled = Start(waiting);
  waiting.abandoned->Request();
  ASSERT_TRUE(ProcessEventsUntil([&] { return cancelled->has_value(); }));
  EXPECT_EQ(Outcome(**cancelled), "not-run");
  EXPECT_EQ(Show("waiting").status, 404);
}

// A new configuration makes a queue idempotent while a request of it runs, which allows the
// dispatcher to retry it. A request that was submitted as non-idempotent must not run twice.
TEST_F(GatewayTest, QueueThatBecomesIdempotentRepeatsNothing) {
  OneShot<int> release;
  m_backend->hold = &release;
  m_backend->drop_every = 1;
  const auto result = Start(Post("flip"));
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_backend->runs.count("flip") == 1; }));
  document::Document changed = *m_context->configuration.Get().document;
  for (document::Queue& queue : changed.queues) queue.idempotent = true;
  ActiveConfiguration configuration{.version = 2};
  configuration.document = std::make_shared<document::Document>(changed);
  m_context->configuration.Set(configuration);
  release.Set(0);
  ASSERT_TRUE(ProcessEventsUntil([&] { return result->has_value(); }));
  EXPECT_EQ(Outcome(**result), "unknown");
  EXPECT_EQ(TotalRuns(), 1);
}

// A cancelled request must never run, also when its key is submitted again. Cancelling a request
// that has ended must report its outcome, not a cancellation.
TEST_F(GatewayTest, CancellationSaysWhetherTheRequestRan) {
  SetInstances(false);
  const auto waiting = Start(Post("w"));
  EXPECT_EQ(Call({.method = "DELETE", .path = "/v1/requests/w"}).status, 200);
  ASSERT_TRUE(ProcessEventsUntil([&] { return waiting->has_value(); }));
  EXPECT_EQ(Outcome(**waiting), "not-run");
  SetInstances(true);
  EXPECT_EQ(Outcome(Call(Post("w"))), "not-run");
  EXPECT_EQ(TotalRuns(), 0);
  ASSERT_EQ(Outcome(Call(Post("done"))), "answered");
  const http::Response late = Call({.method = "DELETE", .path = "/v1/requests/done"});
  EXPECT_EQ(late.status, 409);
  EXPECT_EQ(Outcome(late), "answered");
}

// The entry that claimed a request has restarted since, so its outcome is never recorded. The
// request must be reported as unknown, not as running forever.
TEST_F(GatewayTest, ClaimOfALostEntryIsUnknown) {
  requests::Record claim = m_ledger.MakeClaim(Sha256Hex("bill\nb"), m_timers->Now() + 60s);
  claim.holder.incarnation = "an earlier one";
  m_tasks.Spawn([this, claim]() -> QCoro::Task<void> {
    static_cast<void>(co_await m_ledger.Write("t.lost", claim, std::nullopt));
  });
  const http::Response response = Call(Post("lost"));
  EXPECT_EQ(Outcome(response), "unknown");
  EXPECT_EQ(http::FindHeader(response.headers, "Location"), "/v1/requests/lost");
  EXPECT_EQ(TotalRuns(), 0);
}

// An invalid submission must get the status that names its fault and the outcome "not-run", and
// must neither run nor leave a row.
TEST_F(GatewayTest, BadInputIsRefusedAsNotRun) {
  http::Request late = Post("late");
  late.headers.push_back({"Citronferry-Deadline-Ms", "0"});
  http::Request odd = Post("odd");
  odd.headers.push_back({"Citronferry-Deadline-Ms", "soon"});
  http::Request job = Post("job", "bill");
  job.path = "/v1/queues/bill/jobs";
  const std::vector<std::pair<http::Request, int>> cases{
      {late, 408},
      {odd, 400},
      {job, 409},
      {Post("x", "watch"), 409},
      {Post("x", "nowhere"), 404},
      {Post("a b"), 400},
      {Post(std::string(129, 'k')), 400},
      {{.method = "PUT", .path = "/v1/queues/bill/requests"}, 405},
      {{.method = "POST", .path = "/v1/queues/bill/other"}, 404}};
  for (const auto& [request, status] : cases) {
    const http::Response response = Call(request);
    EXPECT_EQ(response.status, status) << request.path;
    EXPECT_EQ(Outcome(response), "not-run") << request.path;
  }
  EXPECT_EQ(TotalRuns(), 0);
  EXPECT_TRUE(m_shared.rows.empty());
}

// A repeated job submission must not create a second job, and an unknown identifier must not show a
// job. A submission that the store cannot take must be reported as not run.
TEST_F(GatewayTest, JobIsAcceptedOnceShownAndCancelled) {
  http::Request post = Post("j", "watch");
  post.path = "/v1/queues/watch/jobs";
  const http::Response accepted = Call(post);
  EXPECT_EQ(accepted.status, 202);
  const std::string location(http::FindHeader(accepted.headers, "Location"));
  EXPECT_EQ(http::FindHeader(Call(post).headers, "Location"), location);
  EXPECT_EQ(m_shared.rows.size(), 1u);
  EXPECT_EQ(Call({.method = "GET", .path = location}).status, 202);
  EXPECT_EQ(Call({.method = "DELETE", .path = location}).status, 200);
  EXPECT_EQ(Outcome(Call({.method = "GET", .path = location})), "not-run");
  EXPECT_EQ(Call({.method = "GET", .path = "/v1/jobs/none"}).status, 404);
  m_platform.fault = [](bool) { return Fault::kUnavailable; };
  post.headers[0].value = "k";
  EXPECT_EQ(Outcome(Call(post)), "not-run");
}

}  // namespace
}  // namespace citronferry::node
