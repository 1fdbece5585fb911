#include <gtest/gtest.h>

#include <QDir>
#include <QProcess>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <QUrlQuery>
#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/server.h"
#include "supervision/testing/event_loop.h"

namespace citronferry {
namespace {

namespace bj = boost::json;

constexpr qint64 kMegabyte = 1024 * 1024;
// Memory that the settings of the tests grant a process, and the part of it that is not for
// clients: an entry needs up to 60 MB for its own work.
constexpr qint64 kMemoryMb = 120;
constexpr qint64 kWorkMb = 64;
// Red zones, the quarantine of freed blocks and an allocator that returns nothing to the system
// multiply what an instrumented process holds.
#if defined(__SANITIZE_ADDRESS__)
constexpr qint64 kInstrumentationFactor = 3;
#else
constexpr qint64 kInstrumentationFactor = 1;
#endif
constexpr qint64 kMaxGrowth = (kMemoryMb - kWorkMb) * kMegabyte * kInstrumentationFactor;
constexpr int kMaxDescriptors = 420;
constexpr qint64 kMaxBodyBytes = 262144;
constexpr qint64 kPieceBytes = 8 * 1024;
// Only an entry that never answers fails a test, however slow the machine is.
constexpr int kMaxAttempts = 60;
constexpr qint64 kAttemptMs = 2000;
constexpr qint64 kSettleMs = 1500;

/// Stand-in of the platform's store: rows with versions, change feeds and transactions.
class StoreStandIn {
 public:
  explicit StoreStandIn(const std::string& address)
      : m_server(*m_timers, {.address = QHostAddress(QString::fromStdString(address))},
                 [this](http::Request request) { return Handle(std::move(request)); }) {
    EXPECT_TRUE(m_server.Listen().ok());
    m_tasks.Spawn([this]() -> QCoro::Task<void> { static_cast<void>(co_await m_server.Run()); });
  }
  ~StoreStandIn() {
    m_stop.Request();
    m_server.Stop();
    EXPECT_TRUE(ProcessEventsUntil([this] { return m_tasks.running() == 0; }));
  }

  quint16 port() const { return m_server.port(); }
  void Put(const std::string& table, const std::string& partition, const std::string& key,
           const std::string& value) {
    Write({table, partition, key}, QByteArray::fromStdString(value).toBase64().toStdString(),
          ++m_version);
  }

 private:
  using Key = std::array<std::string, 3>;  // Table, partition, key.
  struct Row {
    std::string value;
    int64_t version = 0;
    bool removed = false;
  };

  static Key ReadKey(const bj::value& value) {
    const auto text = [&](const char* name) {
      const bj::value* found = value.as_object().if_contains(name);
      return found ? std::string(found->as_string()) : std::string();
    };
    return {text("tableName"), text("part"), text("key")};
  }
  static bj::object Encode(const Key& key, const Row& row) {
    return {
        {"tableName", key[0]},       {"part", key[1]},        {"key", key[2]}, {"value", row.value},
        {"rowVersion", row.version}, {"deleted", row.removed}};
  }
  static http::Response Respond(int status, const bj::object& body) {
    return {.status = status, .body = QByteArray::fromStdString(bj::serialize(body))};
  }

  void Write(const Key& key, std::string value, int64_t version) {
    m_rows[key] = {.value = std::move(value), .version = version};
  }

  QCoro::Task<http::Response> Handle(http::Request request) {
    if (request.path == "/v1/rows-tx") co_return Transact(request);
    const QUrlQuery query(QString::fromStdString(request.query));
    const auto item = [&query](const char* name) {
      return query.queryItemValue(QLatin1String(name), QUrl::FullyDecoded).toStdString();
    };
    if (request.path == "/v1/rows-get") {
      co_return Read(item("tableName"), item("part"), item("from"), item("target"));
    }
    if (request.path != "/v1/rows-feed") co_return Respond(404, {});
    const std::string table = item("tableName");
    const int64_t after = std::stoll(item("after"));
    const TimePoint end = m_timers->Now() + std::chrono::milliseconds(std::stoll(item("waitMs")));
    while (!HasChanges(table, after) && m_timers->Now() < end && !m_stop.requested()) {
      co_await SleepFor(*m_timers, 20ms, &m_stop);
    }
    bj::array rows;
    for (const auto& [key, row] : m_rows) {
      if (key[0] == table && row.version > after) rows.push_back(Encode(key, row));
    }
    co_return Respond(200, {{"rowVersion", m_version}, {"rows", std::move(rows)}});
  }

  bool HasChanges(const std::string& table, int64_t after) const {
    return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& entry) {
      return entry.first[0] == table && entry.second.version > after;
    });
  }

  http::Response Read(const std::string& table, const std::string& partition,
                      const std::string& from, const std::string& to) const {
    bj::array rows;
    for (const auto& [key, row] : m_rows) {
      const bool in_range = key[2] >= from && (to.empty() || key[2] < to);
      if (key[0] == table && key[1] == partition && in_range && !row.removed) {
        rows.push_back(Encode(key, row));
      }
    }
    return Respond(200, {{"rowVersion", m_version}, {"hasMore", false}, {"rows", std::move(rows)}});
  }

  http::Response Transact(const http::Request& request) {
    const bj::value body = bj::parse(request.body.toStdString());
    bj::array conflicts;
    for (const bj::value& condition : body.at("expected").as_array()) {
      const Key key = ReadKey(condition);
      const auto found = m_rows.find(key);
      const bool present = found != m_rows.end() && !found->second.removed;
      const int64_t version = present ? found->second.version : 0;
      if (version == condition.at("rowVersion").as_int64()) continue;
      if (present) conflicts.push_back(Encode(key, found->second));
      return Respond(412, {{"rowVersion", m_version}, {"rows", std::move(conflicts)}});
    }
    ++m_version;
    for (const bj::value& put : body.at("puts").as_array()) {
      Write(ReadKey(put), std::string(put.at("value").as_string()), m_version);
    }
    for (const bj::value& removal : body.at("remove").as_array()) {
      m_rows[ReadKey(removal)] = {.version = m_version, .removed = true};
    }
    return Respond(200, {{"rowVersion", m_version}});
  }

  std::unique_ptr<TimerService> m_timers = MakeQtTimerService();
  StopSignal m_stop;
  TaskScope m_tasks;
  std::map<Key, Row> m_rows;
  int64_t m_version = 0;
  http::Server m_server;
};

QByteArray Chunk(const QByteArray& data) {
  return QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n";
}

/// Starts an entry as a process, with a stand-in of the store. Each test has an address of its own,
/// since the port of the metrics is fixed.
class HostileClientsTest : public ::testing::Test {
 protected:
  void SetUp() override {
    TestApplication();
    static int started = 0;
    const int number = static_cast<int>(QCoreApplication::applicationPid() % 65000) + started++;
    m_address = "127.71." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
    m_store = std::make_unique<StoreStandIn>(m_address);
    m_store->Put("op", "", "config",
                 R"({"version":1,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",)"
                 R"("backend":"p","public":true,"priority":1,"maxAttempts":2}],)"
                 R"("services":[{"name":"p"}],"limits":{"maxBodyBytes":262144}})");
    m_client_port = FreePort();
    StartEntry(m_client_port, FreePort(), FreePort());
    ASSERT_TRUE(AnswersOneRequest()) << "the entry does not start:\n" << Log().toStdString();
    m_rest = ReadStatus("VmHWM");
  }

  void TearDown() override {
    m_clients.clear();
    m_entry.kill();
    m_entry.waitForFinished();
    m_store.reset();
  }

  quint16 FreePort() const {
    QTcpServer server;
    EXPECT_TRUE(server.listen(QHostAddress(QString::fromStdString(m_address))));
    return server.serverPort();
  }

  void StartEntry(quint16 client_port, quint16 readiness_port, quint16 relay_port) {
    const auto endpoint = [this](quint16 port) {
      return "\"" + m_address + ":" + std::to_string(port) + "\"\n";
    };
    const std::string path = m_directory.filePath(QStringLiteral("settings.toml")).toStdString();
    std::ofstream(path) << "nodeName = \"e1\"\nip = \"" << m_address << "\"\nzone = \"a\"\n"
                        << "heartbeatMs = 1500\nportRange = [" << relay_port << ", " << relay_port
                        << "]\n[listen]\nfront = " << endpoint(client_port)
                        << "readiness = " << endpoint(readiness_port)
                        << "[limits]\ncpuShare = 1\ncores = 1\nlinkMbps = 100\nmemoryMb = "
                        << kMemoryMb << "\nmaxFds = " << kMaxDescriptors
                        << "\n[bounds]\nmaxHoldMs = 10000\ngraceS = 6\nstatus_s = 120\n"
                        << "leaseTtlMs = 3000\nstopGraceMs = 900\n[platform]\naddress = "
                        << endpoint(m_store->port());
    QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
    environment.insert(QStringLiteral("CITRONFERRY_BOOT"), QString::fromStdString(path));
    environment.insert(QStringLiteral("ASAN_OPTIONS"), QStringLiteral("quarantine_size_mb=4"));
    m_entry.setProcessEnvironment(environment);
    m_entry.setStandardOutputFile(m_directory.filePath(QStringLiteral("out.log")));
    m_entry.setStandardErrorFile(m_directory.filePath(QStringLiteral("error.log")));
    m_entry.start(QStringLiteral(CITRONFERRY_BINARY), {QStringLiteral("fleet")});
    ASSERT_TRUE(m_entry.waitForStarted());
  }

  QByteArray Log() const {
    QByteArray text;
    for (const char* name : {"error.log", "out.log"}) {
      QFile file(m_directory.filePath(QLatin1String(name)));
      if (file.open(QIODevice::ReadOnly)) text += file.readAll().right(4000);
    }
    return text;
  }

  /// @return a value of /proc/PID/status in bytes; 0 if the process has ended.
  qint64 ReadStatus(const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(m_entry.processId()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(name + ":")) return std::stoll(line.substr(name.size() + 1)) * 1024;
    }
    return 0;
  }

  void WatchDescriptors() {
    const QDir directory(QStringLiteral("/proc/%1/fd").arg(m_entry.processId()));
    m_most_descriptors =
        std::max(m_most_descriptors,
                 static_cast<int>(directory.entryList(QDir::Files | QDir::System).size()));
  }

  QTcpSocket& Connect(quint16 port) {
    m_clients.push_back(std::make_unique<QTcpSocket>());
    QTcpSocket& client = *m_clients.back();
    client.connectToHost(QHostAddress(QString::fromStdString(m_address)), port);
    return client;
  }

  /// Opens connections and sends a request on each; every second one sends it in pieces. Waits
  /// until all have sent theirs or were disconnected, but not for those that the entry does not
  /// accept, and leaves the connections open.
  void SendFromMany(int count, quint16 port, const QByteArray& request) {
    std::vector<std::pair<QTcpSocket*, qsizetype>> in_pieces;
    for (int i = 0; i < count; ++i) {
      QTcpSocket& client = Connect(port);
      client.setReadBufferSize(1);  // Responses stay unread.
      if (i % 2 == 0) {
        QObject::connect(&client, &QTcpSocket::connected, &client,
                         [&client, request] { client.write(request); });
      } else {
        in_pieces.emplace_back(&client, 0);
      }
    }
    static_cast<void>(ProcessEventsUntil([&] {
      WatchDescriptors();
      bool done = true;
      for (auto& [client, sent] : in_pieces) {
        if (client->state() != QAbstractSocket::ConnectedState || client->bytesToWrite() > 0) {
          continue;
        }
        client->write(request.mid(sent, kPieceBytes));
        sent = std::min(sent + kPieceBytes, request.size());
        done = done && sent == request.size();
      }
      return done && std::all_of(m_clients.begin(), m_clients.end(), [](const auto& client) {
               return client->state() != QAbstractSocket::ConnectingState &&
                      client->bytesToWrite() == 0;
             });
    }));
  }

  /// Submits a job on new connections until one is accepted; an entry may refuse for some time.
  bool AnswersOneRequest() {
    const QByteArray body = R"({"steps":[{"replicas":1,"cpu":100,"memMb":16,"estimateMs":100}]})";
    const QByteArray request = "POST /q/00000000000000a1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                               QByteArray::number(body.size()) + "\r\n\r\n" + body;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      QTcpSocket client;
      QByteArray received;
      bool ended = false;
      QObject::connect(&client, &QTcpSocket::connected, &client,
                       [&client, request] { client.write(request); });
      QObject::connect(&client, &QTcpSocket::readyRead, &client,
                       [&] { received += client.readAll(); });
      QObject::connect(&client, &QTcpSocket::errorOccurred, &client, [&] { ended = true; });
      client.connectToHost(QHostAddress(QString::fromStdString(m_address)), m_client_port);
      QElapsedTimer elapsed;
      elapsed.start();
      while (!received.contains("\r\n") && !ended && elapsed.elapsed() < kAttemptMs) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        QThread::usleep(200);
      }
      if (received.startsWith("HTTP/1.1 200")) return true;
      QThread::msleep(50);
    }
    return false;
  }

  void ExpectBounded() {
    // The kernel reports connections beyond the backlog as established and completes them later.
    QElapsedTimer elapsed;
    elapsed.start();
    static_cast<void>(ProcessEventsUntil([&] {
      WatchDescriptors();
      return elapsed.elapsed() > kSettleMs;
    }));
    EXPECT_EQ(m_entry.state(), QProcess::Running) << Log().toStdString();
    EXPECT_TRUE(AnswersOneRequest()) << Log().toStdString();
    WatchDescriptors();
    const qint64 peak = ReadStatus("VmHWM");
    RecordProperty("rest_kb", static_cast<int>(m_rest / 1024));
    RecordProperty("peak_kb", static_cast<int>(peak / 1024));
    RecordProperty("descriptors", m_most_descriptors);
    std::cout << "rest " << m_rest / 1024 << " kB, peak " << peak / 1024 << " kB, descriptors "
              << m_most_descriptors << std::endl;
    EXPECT_GT(peak, 0);
    EXPECT_LE(peak, m_rest + kMaxGrowth);
    EXPECT_LT(m_most_descriptors, kMaxDescriptors);
  }

  static QByteArray Head(const QByteArray& framing) {
    return "POST /q/00000000000000b2 HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
  }

  quint16 m_client_port = 0;

 private:
  QTemporaryDir m_directory;
  std::string m_address;
  std::unique_ptr<StoreStandIn> m_store;
  QProcess m_entry;
  qint64 m_rest = 0;
  int m_most_descriptors = 0;
  std::vector<std::unique_ptr<QTcpSocket>> m_clients;
};

// Guards against memory that grows with the number of connections: each may hold a body of legal
// size whose last byte never arrives.
TEST_F(HostileClientsTest, LargeBodiesWithoutTheirEndAreBounded) {
  SendFromMany(350, m_client_port,
               Head("Content-Length: " + QByteArray::number(kMaxBodyBytes)) +
                   QByteArray(kMaxBodyBytes - 1, ' '));
  ExpectBounded();
}

// Guards against large bodies that are complete and parsed at once.
TEST_F(HostileClientsTest, LargeCompleteBodiesAreBounded) {
  SendFromMany(350, m_client_port,
               Head("Content-Length: " + QByteArray::number(kMaxBodyBytes)) + "{\"steps\":[" +
                   QByteArray("0,").repeated(kMaxBodyBytes / 2 - 7) + "0]}" + QByteArray(1, ' '));
  ExpectBounded();
}

// Guards against chunked bodies that take a multiple of their size.
TEST_F(HostileClientsTest, LargeChunksWithoutTheirEndAreBounded) {
  SendFromMany(350, m_client_port,
               Head("Transfer-Encoding: chunked") + Chunk(QByteArray(32 * 1024, ' ')).repeated(7) +
                   "8000\r\n" + QByteArray(32 * 1024 - 1, ' '));
  ExpectBounded();
}

// Guards against memory for each chunk, however small.
TEST_F(HostileClientsTest, SmallChunksWithoutTheirEndAreBounded) {
  SendFromMany(200, m_client_port, Head("Transfer-Encoding: chunked") + Chunk(" ").repeated(20000));
  ExpectBounded();
}

// Guards against reading what is refused anyway.
TEST_F(HostileClientsTest, BodiesOverTheLimitAreBounded) {
  SendFromMany(60, m_client_port, Head("Content-Length: 100000000") + QByteArray(2000000, ' '));
  SendFromMany(60, m_client_port,
               Head("Transfer-Encoding: chunked") + Chunk(QByteArray(20000, ' ')).repeated(100));
  ExpectBounded();
}

// Guards against header blocks that never end.
TEST_F(HostileClientsTest, HeadersWithoutTheirEndAreBounded) {
  SendFromMany(350, m_client_port,
               "GET /q/ HTTP/1.1\r\nHost: h\r\nX-Long: " + QByteArray(16000, 'a'));
  ExpectBounded();
}

// Guards against responses that are held for clients that do not read them.
TEST_F(HostileClientsTest, UnreadResponsesAreBounded) {
  constexpr quint16 kMetricsPort = 9464;
  SendFromMany(300, kMetricsPort,
               QByteArray("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").repeated(400));
  ExpectBounded();
}

// Guards against idle connections that use up the descriptors, so that neither clients nor the
// store can be connected.
TEST_F(HostileClientsTest, IdleConnectionsAreBounded) {
  // In groups that fit the backlog, so that every connection reaches the entry.
  for (int i = 0; i < 20; ++i) SendFromMany(30, m_client_port, "");
  ExpectBounded();
}

}  // namespace
}  // namespace citronferry
