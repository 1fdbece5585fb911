#include "tests/process/test_cluster.h"

#include <signal.h>
#include <unistd.h>

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpServer>
#include <iostream>

#include "node/node_context.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::test {
namespace {

constexpr char kTeamToken[] = "team-token";
constexpr int kExitTimeoutMs = 20000;

// The ephemeral ports of the kernel start at 32768 by default. A port of that range can be taken by
// any connection before the listening process starts or after it is killed; requests would then
// reach a process of another cluster. Each test process therefore takes its ports from a block
// below that range, selected by its process ID.
constexpr int kFirstPort = 10240;
constexpr int kPortsPerBlock = 64;
constexpr int kPortBlocks = 340;  // The last block ends below 32768.

/// @return a port from the block of this test process on which no process listens; 0 if there is
/// none.
quint16 FindFreePort() {
  static int next = 0;
  const int first = kFirstPort + static_cast<int>(getpid() % kPortBlocks) * kPortsPerBlock;
  for (int i = 0; i < kPortsPerBlock; ++i) {
    const auto port = static_cast<quint16>(first + next++ % kPortsPerBlock);
    QTcpServer server;
    if (server.listen(QHostAddress::LocalHost, port)) return port;
  }
  return 0;
}

std::string LocalUrl(quint16 port) { return "http://127.0.0.1:" + std::to_string(port); }

void WriteFile(const QString& path, const std::string& text) {
  QFile file(path);
  file.open(QIODevice::WriteOnly);
  file.write(QByteArray::fromStdString(text));
}

}  // namespace

ClusterProcess::ClusterProcess(const QString& program, const QStringList& arguments,
                               const QString& log_file)
    : m_log_file(log_file) {
  m_process.setStandardErrorFile(log_file);
  m_process.setStandardOutputFile(QProcess::nullDevice());
  m_process.start(program, arguments);
  m_process.waitForStarted();
}

ClusterProcess::~ClusterProcess() {
  m_process.kill();
  m_process.waitForFinished();
}

void ClusterProcess::Signal(int signal) { kill(static_cast<pid_t>(m_process.processId()), signal); }

bool ClusterProcess::WaitForExit() {
  return m_process.state() == QProcess::NotRunning || m_process.waitForFinished(kExitTimeoutMs);
}

QByteArray ClusterProcess::log() const {
  QFile file(m_log_file);
  file.open(QIODevice::ReadOnly);
  return file.readAll();
}

TestCluster::TestCluster(TestClusterOptions options) : m_options(std::move(options)) {
  TestApplication();
  m_timers = MakeQtTimerService();
  StartPlatform();
  for (int i = 0; i < m_options.backends; ++i) StartBackend(i);
  for (int i = 0; i < m_options.entries; ++i) StartEntry(i);
}

TestCluster::~TestCluster() {
  ProcessEventsUntil([this] { return m_tasks.running() == 0; });
}

void TestCluster::StartPlatform() {
  m_platform_port = FindFreePort();
  m_platform = std::make_unique<ClusterProcess>(
      QStringLiteral(PLATFORM_STANDIN_BINARY),
      QStringList{QStringLiteral("--port"), QString::number(m_platform_port)},
      m_directory.filePath(QStringLiteral("platform.log")));
}

void TestCluster::StartBackend(int index) {
  m_backend_ports.push_back(FindFreePort());
  m_backends.push_back(std::make_unique<ClusterProcess>(
      QStringLiteral(BACKEND_STANDIN_BINARY),
      QStringList{QStringLiteral("--port"), QString::number(m_backend_ports.back())},
      m_directory.filePath(QStringLiteral("backend%1.log").arg(index))));
}

void TestCluster::StartEntry(int index) {
  m_caller_ports.push_back(FindFreePort());
  m_admin_ports.push_back(FindFreePort());
  const std::string name = "entry-" + std::to_string(index);
  const std::string local = "\"127.0.0.1:";
  const std::string settings =
      "id = \"" + name + "\"\ndata_centre = \"dc" + std::to_string(index % 3) +
      "\"\nenvironment = \"" + m_options.environment + "\"\ncaller_listener = " + local +
      std::to_string(m_caller_ports.back()) + "\"\nadmin_listener = " + local +
      std::to_string(m_admin_ports.back()) + "\"\npeer_listener = " + local +
      std::to_string(FindFreePort()) + "\"\nplatform_url = \"" + platform_url() + "\"\n";
  const QString path = m_directory.filePath(QString::fromStdString(name + ".toml"));
  WriteFile(path, settings);
  m_entries.push_back(std::make_unique<ClusterProcess>(
      QStringLiteral(CITRONFERRY_BINARY),
      QStringList{QStringLiteral("serve"), QStringLiteral("--settings"), path},
      m_directory.filePath(QString::fromStdString(name + ".log"))));
}

std::string TestCluster::platform_url() const { return LocalUrl(m_platform_port); }
std::string TestCluster::admin_url(size_t index) const { return LocalUrl(m_admin_ports[index]); }
std::string TestCluster::caller_url(size_t index) const { return LocalUrl(m_caller_ports[index]); }

std::string TestCluster::MakeDocument(int max_queued) const {
  std::string instances;
  for (int i = 0; i < m_options.backends; ++i) {
    instances += (i > 0 ? ", \"i" : "\"i") + std::to_string(i) + '"';
  }
  const std::string limit = "max_queued = " + std::to_string(max_queued) + "\n";
  return "environment = \"" + m_options.environment +
         "\"\n"
         "[[service]]\nname = \"billing\"\npool = \"billing\"\n"
         "[[pool]]\nname = \"billing\"\ninstances = [" +
         instances +
         "]\n"
         "[[queue]]\nname = \"tally\"\nservice = \"billing\"\n" +
         limit + "[[queue]]\nname = \"manifest\"\nservice = \"billing\"\nidempotent = true\n" +
         limit + "[[team]]\nname = \"outfitters\"\ntoken_sha256 = \"" +
         node::Sha256Hex(kTeamToken) + "\"\n";
}

RetVal<http::Response> TestCluster::Call(http::ClientRequest request) {
  std::optional<RetVal<http::Response>> result;
  m_tasks.Spawn([&]() -> QCoro::Task<void> { result = co_await m_client.Send(request); });
  ProcessEventsUntil([&] { return result.has_value(); });
  if (!result) return Ret(ErrorCode::kDeadlineExceeded, "no response within the test timeout");
  return *result;
}

RetVal<http::Response> TestCluster::Get(const std::string& url) {
  return Call({.url = url, .timeout = 2s, .idempotency = http::Idempotency::kIdempotent});
}

bool TestCluster::RegisterBackends() {
  for (size_t i = 0; i < m_backend_ports.size(); ++i) {
    const std::string json = "{\"id\":\"i" + std::to_string(i) +
                             "\",\"address\":\"127.0.0.1:" + std::to_string(m_backend_ports[i]) +
                             "\",\"data_centre\":\"dc0\",\"rack\":\"r" + std::to_string(i / 4) +
                             "\",\"state\":\"live\",\"role\":\"backend\"}";
    const auto response = Call({.method = "PUT",
                                .url = platform_url() + "/standin/instances",
                                .body = QByteArray::fromStdString(json)});
    if (!response.ok() || response->status != 204) return false;
  }
  return true;
}

bool TestCluster::PublishConfiguration(uint64_t version, const std::string& text) {
  const std::string digest = node::Sha256Hex(text);
  const auto stored = Call({.method = "PUT",
                            .url = platform_url() + "/v1/objects/" + digest,
                            .body = QByteArray::fromStdString(text)});
  if (!stored.ok()) return false;
  http::ClientRequest request{
      .method = "PUT", .url = platform_url() + "/v1/tables/config/rows/" + m_options.environment};
  if (version == 1) {
    request.headers.push_back({"If-None-Match", "*"});
  } else {
    request.headers.push_back({"If-Match", '"' + std::to_string(version - 1) + '"'});
  }
  request.body = QByteArray::fromStdString("{\"version\":" + std::to_string(version) +
                                           ",\"digest\":\"" + digest + "\"}");
  const auto written = Call(std::move(request));
  return written.ok() && written->status < 300;
}

bool TestCluster::StartServing() {
  const bool reachable = ProcessEventsUntil([this] {
    const auto response = Get(platform_url() + "/v1/instances");
    return response.ok() && response->status == 200;
  });
  if (!reachable || !RegisterBackends() || !PublishConfiguration(1, MakeDocument(1000))) {
    return false;
  }
  // An entry reports ready before the planner has created the ownership rows, so warm-up requests
  // must be answered too. On a busy machine this takes longer than one ProcessEventsUntil()
  // timeout.
  const auto serving = [this] {
    for (size_t i = 0; i < m_entries.size(); ++i) {
      const auto ready = Get(admin_url(i) + "/readyz");
      if (!ready.ok() || ready->status != 200) return false;
    }
    const standin::LoadReport report = RunLoad("manifest", "warm-up", 100, 200ms, 1);
    return report.outcomes.size() == 1 && report.outcomes.contains("answered");
  };
  constexpr int kMaxAttempts = 4;
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (ProcessEventsUntil(serving)) return true;
  }
  PrintLogs();
  return false;
}

void TestCluster::PrintLogs() const {
  constexpr qsizetype kMaxPrintedLogBytes = 3000;
  for (const auto& entry : m_entries) {
    std::cerr << "log of an entry:\n"
              << entry->log().right(kMaxPrintedLogBytes).toStdString() << '\n';
  }
  std::cerr << "log of the platform:\n"
            << m_platform->log().right(kMaxPrintedLogBytes).toStdString() << '\n';
}

standin::LoadOptions TestCluster::MakeLoadOptions(const std::string& queue,
                                                  const std::string& prefix, double rate,
                                                  Duration duration, int attempts) const {
  standin::LoadOptions options{.path = "/v1/queues/" + queue + "/requests",
                               .token = kTeamToken,
                               .key_prefix = prefix,
                               .rate = rate,
                               .duration = duration,
                               .max_attempts = attempts};
  for (size_t i = 0; i < m_caller_ports.size(); ++i) options.targets.push_back(caller_url(i));
  return options;
}

void TestCluster::StartLoad(standin::LoadOptions options,
                            std::unique_ptr<standin::LoadReport>& report) {
  m_tasks.Spawn([this, options = std::move(options), &report]() -> QCoro::Task<void> {
    standin::LoadGenerator generator(*m_timers, options);
    standin::LoadReport result = co_await generator.Run();
    report = std::make_unique<standin::LoadReport>(std::move(result));
  });
}

standin::LoadReport TestCluster::RunLoad(const std::string& queue, const std::string& prefix,
                                         double rate, Duration duration, int attempts) {
  std::unique_ptr<standin::LoadReport> report;
  StartLoad(MakeLoadOptions(queue, prefix, rate, duration, attempts), report);
  ProcessEventsUntil([&] { return report != nullptr; });
  return report ? *report : standin::LoadReport{};
}

void TestCluster::SetPlatformSwitches(const std::string& json) {
  static_cast<void>(Call({.method = "PUT",
                          .url = platform_url() + "/standin/switches",
                          .body = QByteArray::fromStdString(json)}));
}

void TestCluster::SetBackendSwitches(size_t backend, const std::string& json) {
  static_cast<void>(Call({.method = "PUT",
                          .url = LocalUrl(m_backend_ports[backend]) + "/standin/switches",
                          .body = QByteArray::fromStdString(json)}));
}

int TestCluster::ReadBackendCounter(size_t backend, const char* name) {
  const auto response = Get(LocalUrl(m_backend_ports[backend]) + "/standin/counts");
  if (!response.ok()) return -1;
  return QJsonDocument::fromJson(response->body).object().value(QLatin1String(name)).toInt(-1);
}

int TestCluster::SumBackendCounters(const char* name) {
  int total = 0;
  for (size_t i = 0; i < m_backends.size(); ++i) total += ReadBackendCounter(i, name);
  return total;
}

}  // namespace citronferry::test
