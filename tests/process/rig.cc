#include "tests/process/rig.h"

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

constexpr char kToken[] = "team-token";
constexpr int kExitTimeoutMs = 20000;

// Ports that the kernel gives to connections begin at 32768 by default. A port from there may be
// taken by any connection between its choice and the start of the process that is to listen, or
// when that process is killed; then requests reach a process of another rig.
constexpr int kFirstPort = 10240;
constexpr int kPortsOfARig = 64;
constexpr int kRigs = 340;  // The last block ends below 32768.

/// @return a port of this process's own block on which nothing listens.
quint16 FreePort() {
  static int next = 0;
  const int first = kFirstPort + static_cast<int>(getpid() % kRigs) * kPortsOfARig;
  for (int i = 0; i < kPortsOfARig; ++i) {
    const auto port = static_cast<quint16>(first + next++ % kPortsOfARig);
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

RigProcess::RigProcess(const QString& program, const QStringList& arguments,
                       const QString& log_file)
    : m_log_file(log_file) {
  m_process.setStandardErrorFile(log_file);
  m_process.setStandardOutputFile(QProcess::nullDevice());
  m_process.start(program, arguments);
  m_process.waitForStarted();
}

RigProcess::~RigProcess() {
  m_process.kill();
  m_process.waitForFinished();
}

void RigProcess::Signal(int signal) { kill(static_cast<pid_t>(m_process.processId()), signal); }

bool RigProcess::WaitForExit() {
  return m_process.state() == QProcess::NotRunning || m_process.waitForFinished(kExitTimeoutMs);
}

QByteArray RigProcess::log() const {
  QFile file(m_log_file);
  file.open(QIODevice::ReadOnly);
  return file.readAll();
}

Rig::Rig(RigOptions options) : m_options(std::move(options)) {
  TestApplication();
  m_timers = MakeQtTimerService();
  StartPlatform();
  for (int i = 0; i < m_options.backends; ++i) StartBackend(i);
  for (int i = 0; i < m_options.entries; ++i) StartEntry(i);
}

Rig::~Rig() {
  ProcessEventsUntil([this] { return m_tasks.running() == 0; });
}

void Rig::StartPlatform() {
  m_platform_port = FreePort();
  m_platform = std::make_unique<RigProcess>(
      QStringLiteral(PLATFORM_STANDIN_BINARY),
      QStringList{QStringLiteral("--port"), QString::number(m_platform_port)},
      m_directory.filePath(QStringLiteral("platform.log")));
}

void Rig::StartBackend(int index) {
  m_backend_ports.push_back(FreePort());
  m_backends.push_back(std::make_unique<RigProcess>(
      QStringLiteral(BACKEND_STANDIN_BINARY),
      QStringList{QStringLiteral("--port"), QString::number(m_backend_ports.back())},
      m_directory.filePath(QStringLiteral("backend%1.log").arg(index))));
}

void Rig::StartEntry(int index) {
  m_caller_ports.push_back(FreePort());
  m_admin_ports.push_back(FreePort());
  const std::string name = "entry-" + std::to_string(index);
  const std::string local = "\"127.0.0.1:";
  const std::string settings =
      "id = \"" + name + "\"\ndata_centre = \"dc" + std::to_string(index % 3) +
      "\"\nenvironment = \"" + m_options.environment + "\"\ncaller_listener = " + local +
      std::to_string(m_caller_ports.back()) + "\"\nadmin_listener = " + local +
      std::to_string(m_admin_ports.back()) + "\"\npeer_listener = " + local +
      std::to_string(FreePort()) + "\"\nplatform_url = \"" + platform_url() + "\"\n";
  const QString path = m_directory.filePath(QString::fromStdString(name + ".toml"));
  WriteFile(path, settings);
  m_entries.push_back(std::make_unique<RigProcess>(
      QStringLiteral(CITRONFERRY_BINARY),
      QStringList{QStringLiteral("serve"), QStringLiteral("--settings"), path},
      m_directory.filePath(QString::fromStdString(name + ".log"))));
}

std::string Rig::platform_url() const { return LocalUrl(m_platform_port); }
std::string Rig::admin_url(size_t index) const { return LocalUrl(m_admin_ports[index]); }
std::string Rig::caller_url(size_t index) const { return LocalUrl(m_caller_ports[index]); }

std::string Rig::MakeDocument(int max_queued) const {
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
         limit + "[[team]]\nname = \"outfitters\"\ntoken_sha256 = \"" + node::Sha256Hex(kToken) +
         "\"\n";
}

RetVal<http::Response> Rig::Call(http::ClientRequest request) {
  std::optional<RetVal<http::Response>> result;
  m_tasks.Spawn([&]() -> QCoro::Task<void> { result = co_await m_client.Send(request); });
  ProcessEventsUntil([&] { return result.has_value(); });
  if (!result) return Ret(ErrorCode::kDeadlineExceeded, "no answer within the bound of the test");
  return *result;
}

RetVal<http::Response> Rig::Get(const std::string& url) {
  return Call({.url = url, .timeout = 2s, .idempotency = http::Idempotency::kIdempotent});
}

bool Rig::RegisterBackends() {
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

bool Rig::PublishConfiguration(uint64_t version, const std::string& text) {
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

bool Rig::StartServing() {
  const bool reachable = ProcessEventsUntil([this] {
    const auto response = Get(platform_url() + "/v1/instances");
    return response.ok() && response->status == 200;
  });
  if (!reachable || !RegisterBackends() || !PublishConfiguration(1, MakeDocument(1000))) {
    return false;
  }
  // An entry is ready before the planner has created the ownership rows, so a first request must
  // have been answered too. On a busy machine this takes longer than one wait.
  const auto serving = [this] {
    for (size_t i = 0; i < m_entries.size(); ++i) {
      const auto ready = Get(admin_url(i) + "/readyz");
      if (!ready.ok() || ready->status != 200) return false;
    }
    const standin::LoadReport report = RunLoad("manifest", "warm-up", 100, 200ms, 1);
    return report.outcomes.size() == 1 && report.outcomes.contains("answered");
  };
  constexpr int kWaits = 4;
  for (int i = 0; i < kWaits; ++i) {
    if (ProcessEventsUntil(serving)) return true;
  }
  PrintLogs();
  return false;
}

void Rig::PrintLogs() const {
  constexpr qsizetype kShownBytes = 3000;
  for (const auto& entry : m_entries) {
    std::cerr << "log of an entry:\n" << entry->log().right(kShownBytes).toStdString() << '\n';
  }
  std::cerr << "log of the platform:\n"
            << m_platform->log().right(kShownBytes).toStdString() << '\n';
}

standin::LoadOptions Rig::MakeLoadOptions(const std::string& queue, const std::string& prefix,
                                          double rate, Duration duration, int tries) const {
  standin::LoadOptions options{.path = "/v1/queues/" + queue + "/requests",
                               .token = kToken,
                               .key_prefix = prefix,
                               .rate = rate,
                               .duration = duration,
                               .max_tries = tries};
  for (size_t i = 0; i < m_caller_ports.size(); ++i) options.targets.push_back(caller_url(i));
  return options;
}

void Rig::StartLoad(standin::LoadOptions options, std::unique_ptr<standin::LoadReport>& report) {
  m_tasks.Spawn([this, options = std::move(options), &report]() -> QCoro::Task<void> {
    standin::Load load(*m_timers, options);
    standin::LoadReport result = co_await load.Run();
    report = std::make_unique<standin::LoadReport>(std::move(result));
  });
}

standin::LoadReport Rig::RunLoad(const std::string& queue, const std::string& prefix, double rate,
                                 Duration duration, int tries) {
  std::unique_ptr<standin::LoadReport> report;
  StartLoad(MakeLoadOptions(queue, prefix, rate, duration, tries), report);
  ProcessEventsUntil([&] { return report != nullptr; });
  return report ? *report : standin::LoadReport{};
}

void Rig::SetPlatformSwitches(const std::string& json) {
  static_cast<void>(Call({.method = "PUT",
                          .url = platform_url() + "/standin/switches",
                          .body = QByteArray::fromStdString(json)}));
}

void Rig::SetBackendSwitches(size_t backend, const std::string& json) {
  static_cast<void>(Call({.method = "PUT",
                          .url = LocalUrl(m_backend_ports[backend]) + "/standin/switches",
                          .body = QByteArray::fromStdString(json)}));
}

int Rig::BackendCount(size_t backend, const char* name) {
  const auto response = Get(LocalUrl(m_backend_ports[backend]) + "/standin/counts");
  if (!response.ok()) return -1;
  return QJsonDocument::fromJson(response->body).object().value(QLatin1String(name)).toInt(-1);
}

int Rig::TotalCount(const char* name) {
  int total = 0;
  for (size_t i = 0; i < m_backends.size(); ++i) total += BackendCount(i, name);
  return total;
}

}  // namespace citronferry::test
