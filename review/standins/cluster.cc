#include "cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <thread>
#include <utility>

namespace review {
namespace {

namespace bj = boost::json;

constexpr int kPlatformNumber = 10;
constexpr int kExecutorNumber = 20;
constexpr int kProxyNumber = 120;
constexpr int kPlatformPort = 8621;
constexpr int kFrontPort = 8624;
constexpr int kReadinessPort = 8622;
constexpr int kExecutorPort = 8080;
constexpr const char* kProgram = "target/src/citronferry";  // As in deploy/system.toml.
constexpr const char* kPool = "service-a";

std::string RandomPrefix() {
  std::random_device random;
  return "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
}

void Sleep(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

}  // namespace

Cluster::Cluster(const ClusterOptions& options)
    : m_options(options),
      m_started_ms(NowMs()),
      m_prefix(RandomPrefix()),
      m_record(options.record, m_started_ms, "case"),
      m_platform(Ip(kPlatformNumber), kPlatformPort, m_record) {
  for (int i = 0; i < options.executors; ++i) {
    m_executors.push_back({.id = "i-" + std::to_string(1000 + i),
                           .pool = kPool,
                           .ip = Ip(kExecutorNumber + i),
                           .port = kExecutorPort,
                           .announced = Ip(kProxyNumber + i) + ":" + std::to_string(kExecutorPort),
                           .platform = Ip(kPlatformNumber) + ":" + std::to_string(kPlatformPort),
                           .record = options.record,
                           .started_ms = m_started_ms,
                           .kind = i == options.special_executor ? "b" : "a",
                           .cpu = options.executor_cpu});
    m_executor_pids.push_back(-1);
    m_proxies.push_back(std::make_unique<Proxy>(Ip(kProxyNumber + i), kExecutorPort,
                                                Ip(kExecutorNumber + i), kExecutorPort));
  }
}

void Cluster::Stop() {
  for (const pid_t pid : m_executor_pids) {
    if (pid > 0) kill(pid, SIGKILL);
  }
  for (const pid_t pid : m_entry_pids) {
    if (pid > 0) kill(pid, SIGKILL);
  }
  for (const pid_t pid : m_executor_pids) {
    if (pid > 0) waitpid(pid, nullptr, 0);
  }
  for (const pid_t pid : m_entry_pids) {
    if (pid > 0) waitpid(pid, nullptr, 0);
  }
}

pid_t Cluster::Spawn(const std::vector<std::string>& arguments, const std::string& environment,
                     const std::string& log) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  std::array<char*, 2> envp{const_cast<char*>(environment.c_str()), nullptr};
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(argv[0], argv.data(), envp.data());
    _exit(127);
  }
  close(out);
  return pid;
}

std::string Cluster::SettingsOf(int entry) const {
  const auto quoted = [](const std::string& ip, int port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"\n";
  };
  const std::string ip = Ip(1 + entry);
  const std::string platform = quoted(Ip(kPlatformNumber), kPlatformPort);
  return "nodeName = \"front-zone-a-" + std::to_string(1 + entry) + "\"\nip = \"" + ip + "\"\n" +
         R"(zone = "zone-a"
region = "region-a"
portRange = [7060,7075]
heartbeatMs = 1500
commands = "request"
[listen]
front = )" +
         quoted(ip, kFrontPort) + "readiness = " + quoted(ip, kReadinessPort) +
         R"([limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
maxHoldMs = 10000
stopGraceMs = 900
visible_ms = 3000
finish_s = 14
status_s = 120
maintenanceS = 2
requireFencing = false
leaseTtlMs = 3000
[platform]
form = "table"
writesPerS = 600
readsPerS = 2000
txnMs = 6.0
address = )" +
         platform + "[cloudApi]\nratePerS = 64.0\ndutyPerS = 64.0\naddress = " + platform;
}

bool Cluster::Start() {
  if (access(kProgram, X_OK) != 0 || !m_platform.Listen()) return false;
  for (const auto& proxy : m_proxies) {
    if (!proxy->Listen()) return false;
  }
  Configure(1);
  for (int i = 0; i < m_options.executors; ++i) {
    StartExecutor(i);
  }
  m_entry_pids.assign(static_cast<size_t>(m_options.entries), -1);
  for (int i = 0; i < m_options.entries; ++i) StartEntry(i);
  const int64_t deadline = NowMs() + 30000;
  for (int i = 0; i < m_options.entries; ++i) {
    const std::string address = Ip(1 + i) + ":" + std::to_string(kReadinessPort);
    while (true) {
      const auto ready = Call(address, "GET", "/v1/ready", "", "", 1000);
      if (ready && ready->status == 200) break;
      if (NowMs() > deadline) return false;
      Sleep(50);
    }
  }
  const std::string job = NewJobId();
  while (Submit(0, job, MakeJob({.cpu = 500, .ms = 50})).status != 200) {
    if (NowMs() > deadline) return false;
    Sleep(100);
  }
  while (Show(0, job) != "completed") {
    if (NowMs() > deadline) return false;
    Sleep(100);
  }
  m_record.Write("serving");
  return true;
}

void Cluster::SetCutOff(int index, bool cut_off) {
  m_record.Write((cut_off ? "cut executor=" : "heal executor=") + executor_id(index));
  m_platform.SetCutOff(executor_id(index), cut_off);
  if (cut_off) {
    m_proxies[static_cast<size_t>(index)]->Cut();
  } else {
    m_proxies[static_cast<size_t>(index)]->Heal();
  }
}

void Cluster::KillExecutor(int index) {
  pid_t& pid = m_executor_pids[static_cast<size_t>(index)];
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
  m_record.Write("killed executor=" + executor_id(index));
}

void Cluster::StartExecutor(int index, const std::string& id) {
  ExecutorOptions& options = m_executors[static_cast<size_t>(index)];
  if (!id.empty()) options.id = id;
  m_executor_pids[static_cast<size_t>(index)] =
      Spawn({m_options.program, "executor", options.id, options.pool, options.ip,
             std::to_string(options.port), options.announced, options.platform, options.record,
             std::to_string(options.started_ms), std::to_string(options.cpu), options.kind},
            "LANG=C", m_options.directory + "/executor" + std::to_string(index) + ".log");
}

void Cluster::KillEntry(int index) {
  pid_t& pid = m_entry_pids[static_cast<size_t>(index)];
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
  m_record.Write("killed entry=" + std::to_string(1 + index));
}

void Cluster::StartEntry(int index) {
  const std::string name = m_options.directory + "/entry" + std::to_string(index);
  std::ofstream(name + ".toml") << SettingsOf(index);
  m_entry_pids[static_cast<size_t>(index)] =
      Spawn({kProgram, "fleet"}, "CITRONFERRY_BOOT=" + name + ".toml", name + ".log");
  m_record.Write("started entry=" + std::to_string(1 + index));
}

int Cluster::Owner() {
  const std::string row = m_platform.Get("owners", kPool, "owner");
  if (row.empty()) return -1;
  const std::string holder(bj::parse(row).as_object().at("holder").as_string());
  return holder.empty() ? -1 : std::atoi(holder.substr(holder.rfind('-') + 1).c_str()) - 1;
}

void Cluster::Configure(int64_t version) {
  const auto make_route = [](const std::string& name, int priority) {
    return bj::object{
        {"name", "r-" + name},      {"host", "jobs.example"}, {"pathPrefix", "/" + name + "/"},
        {"kind", "non_idempotent"}, {"timeoutMs", 3000},      {"targetLatencyMs", 600},
        {"priority", priority},     {"backend", kPool},       {"maxAttempts", 3},
        {"latencyMultiplier", 1.6}};
  };
  const bj::object pool{
      {"name", kPool}, {"healthPath", "/health"}, {"maxConns", 64},  {"protocol", "h1"},
      {"tls", false},  {"rejectsOverload", true}, {"standby", false}};
  const bj::object configuration{
      {"version", version},
      {"routes", bj::array{make_route("queue", 0), make_route("second", 1)}},
      {"services", bj::array{pool}},
      {"limits", bj::object{{"maxBodyBytes", 262144}}}};
  m_platform.Put("op", "config", bj::serialize(configuration));
  m_record.Write("configuration " + std::to_string(version));
}

Answer Cluster::Submit(int entry, const std::string& job, const std::string& body,
                       const std::string& queue) {
  constexpr int kTimeoutMs = 3000;
  m_record.Write("send POST job=" + job + " entry=" + std::to_string(1 + entry));
  const auto response =
      Call(Ip(1 + entry) + ":" + std::to_string(kFrontPort), "POST", "/" + queue + "/" + job,
           "Host: jobs.example\r\nX-Request-Deadline: " + std::to_string(kTimeoutMs) + "\r\n", body,
           kTimeoutMs);
  Answer answer;
  if (response) answer = {.status = response->status, .body = response->body};
  m_record.Write("answer POST job=" + job + " status=" + std::to_string(answer.status));
  return answer;
}

std::string Cluster::Show(int entry, const std::string& job, const std::string& queue) {
  const auto response = Call(Ip(1 + entry) + ":" + std::to_string(kFrontPort), "GET",
                             "/" + queue + "/" + job, "Host: jobs.example\r\n", "", 3000);
  std::string state = response ? std::to_string(response->status) : "none";
  if (response && response->status == 200) {
    state = std::string(bj::parse(response->body).as_object().at("state").as_string());
  }
  m_record.Write("answer GET job=" + job + " state=" + state);
  return state;
}

std::string MakeJob(const JobOptions& options) {
  const bj::object spec{{"ms", options.ms}, {"cpu", options.cpu}, {"lasting", options.lasting}};
  bj::object step{{"replicas", options.replicas},
                  {"cpu", options.cpu},
                  {"memMb", 16},
                  {"estimateMs", options.ms}};
  if (options.lasting) step["daemon"] = true;
  if (options.max_per_executor > 0) step["antiAffinity"] = options.max_per_executor;
  if (!options.required_label.empty()) step["requires"] = options.required_label;
  bj::object job{{"spec", bj::serialize(spec)}, {"steps", bj::array{step}}};
  if (options.times > 0) {
    job["times"] = options.times;
    job["firstDueMs"] = options.first_due_ms;
    job["intervalMs"] = options.interval_ms;
  }
  return bj::serialize(job);
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string NewJobId() {
  static std::atomic<uint32_t> count = 0;
  static const uint32_t kFirst = std::random_device()();
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", kFirst, ++count);
  return text.data();
}

}  // namespace review
