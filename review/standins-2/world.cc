#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>

#include "record.h"

namespace review {
namespace {

namespace bj = boost::json;

constexpr const char* kHost = "jobs.example";
constexpr int64_t kStartTimeoutMs = 15000;
constexpr int kCallTimeoutMs = 3000;
constexpr int kAttempts = 5;

// The same at both sites.
constexpr const char* kBounds = R"(seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
maxStretchMs = 5000
recoveryS = 12
stopGraceMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
requireFencing = false
leaseTtlMs = 3000
thawMs = 300
pacingMs = 100
harmMs = 4000
)";

std::string StateIn(const Response& response) {
  boost::system::error_code error;
  const bj::value body = bj::parse(response.body, error);
  if (error || !body.is_object()) return {};
  const bj::value* state = body.get_object().if_contains("state");
  return state && state->is_string() ? std::string(state->get_string().c_str()) : std::string();
}

bj::object EncodeStep(const StepModel& step) {
  bj::object encoded{{"replicas", step.replicas},
                     {"cpu", step.cpu},
                     {"memMb", step.memory_mb},
                     {"estimateMs", step.work_ms}};
  if (step.lasts) encoded["daemon"] = true;
  if (step.max_per_executor > 0) encoded["antiAffinity"] = step.max_per_executor;
  if (step.max_unavailable > 0) encoded["maxUnavailable"] = step.max_unavailable;
  return encoded;
}

}  // namespace

Site PackstringSite() {
  return {.service = "fraser-outfit",
          .executor_cpu = 64000,
          .executor_memory_mb = 262144,
          .max_hold_ms = 10000,
          .bounds = "spreadFactor = 3\ncheckpointS = 1\nrestoreMs = 600\n"};
}

Site NdfSite() {
  return {.service = "fieldteam",
          .executor_cpu = 16000,
          .executor_memory_mb = 65536,
          .max_hold_ms = 6000,
          .bounds = "spreadFactor = 2\ncheckpointS = 0.5\nrestoreMs = 250\n"};
}

World::World(std::string program, std::string folder, Site site, std::vector<Queue> queues)
    : m_program(std::move(program)),
      m_folder(std::move(folder)),
      m_site(std::move(site)),
      m_workers(m_store, m_site.service, m_site.max_hold_ms),
      m_machines([this](const Request& request) -> Response {
        if (request.path == "/v1/machines") return {.body = m_workers.Machines()};
        if (request.path == "/v1/machine-upkeep") return m_workers.Upkeep(request.body);
        return {.status = 409, .body = R"({"reason":"busy"})"};
      }) {
  m_store.Put("op", "config", Configuration(queues));
}

void World::Stop() {
  for (const Entry& entry : m_entries) {
    if (entry.process <= 0) continue;
    kill(entry.process, SIGKILL);
    waitpid(entry.process, nullptr, 0);
  }
}

std::string World::Configuration(const std::vector<Queue>& queues) const {
  bj::array routes;
  for (const Queue& queue : queues) {
    routes.push_back(bj::object{{"name", queue.name},
                                {"host", kHost},
                                {"pathPrefix", "/" + queue.name + "/"},
                                {"backend", m_site.service},
                                {"kind", "non_idempotent"},
                                {"timeoutMs", kCallTimeoutMs},
                                {"priority", queue.priority},
                                {"maxAttempts", queue.max_attempts},
                                {"latencyMultiplier", 1.6},
                                {"targetLatencyMs", 600}});
  }
  const bj::object service{{"name", m_site.service},
                           {"protocol", "http"},
                           {"maxConns", 64},
                           {"rejectsOverload", true},
                           {"standby", false}};
  return bj::serialize(
      bj::object{{"version", 1},
                 {"routes", std::move(routes)},
                 {"services", bj::array{service}},
                 {"limits", bj::object{{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}}});
}

void World::Launch(Entry& entry) {
  const pid_t parent = getpid();
  entry.process = fork();
  if (entry.process != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  const int log = open(entry.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  const std::string settings = "CITRONFERRY_BOOT=" + entry.settings;
  const char* path = std::getenv("PATH");
  const std::string search = std::string("PATH=") + (path ? path : "");
  std::array<std::string, 2> words{m_program, "fleet"};
  std::array<char*, 3> arguments{words[0].data(), words[1].data(), nullptr};
  std::array<std::string, 2> variables{settings, search};
  std::array<char*, 3> environment{variables[0].data(), variables[1].data(), nullptr};
  execve(m_program.c_str(), arguments.data(), environment.data());
  _exit(1);
}

void World::AddExecutors(int count) {
  constexpr int kRack = 4;
  for (int i = 0; i < count; ++i) {
    m_workers.Add(m_site.executor_cpu, m_site.executor_memory_mb,
                  "r1-" + std::to_string(i / kRack));
  }
}

bool World::Start(int entries) {
  for (int i = 0; i < entries; ++i) {
    Entry entry;
    entry.ip = "127." + std::to_string(16 + getpid() % 200) + ".9." + std::to_string(i + 1);
    const auto address = [&] { return entry.ip + ":" + std::to_string(FindFreePort(entry.ip)); };
    entry.front = address();
    entry.readiness = address();
    const std::string control = address();
    const int inner = FindFreePort(entry.ip);
    entry.name = "front-zone-a-" + std::to_string(i + 1);
    entry.settings = m_folder + "/" + entry.name + ".toml";
    entry.log = m_folder + "/" + entry.name + ".log";
    std::ofstream file(entry.settings);
    file << "nodeName = \"" << entry.name << "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
         << "serves = [\"front\"]\nip = \"" << entry.ip << "\"\nzone = \"zone-a\"\n"
         << "region = \"region-a\"\nportRange = [" << inner << "," << inner + 15 << "]\n"
         << "seeds = []\nbootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\n"
         << "entry = \"vip\"\nheartbeatMs = 1500\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
         << "\"platform\",\"advice\",\"upkeep\",\"sharing\"]\ncommands = \"request\"\nadvice = "
            "\"\"\n"
         << "[zones]\nzone-a = \"region-a\"\n[listen]\nfront = \"" << entry.front
         << "\"\nreadiness = \"" << entry.readiness << "\"\ncontrol = \"" << control
         << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
         << "linkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 0\n"
         << "regions = 0\n[bounds]\n"
         << kBounds << m_site.bounds << "maxHoldMs = " << m_site.max_hold_ms << "\n"
         << "[platform]\naddress = \"" << m_store.address()
         << "\"\nform = \"table\"\nwritesPerS = 600\nreadsPerS = 2000\ntxnMs = 6.0\n"
         << "partitionWritesS = 200\nrowBytes = 65536\ncrossShard = false\nretentionS = 20\n"
         << "blobBytes = 8388608\nblobMs = 25.0\nblobMbS = 80.0\n[cloudApi]\naddress = \""
         << m_machines.address() << "\"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n";
    file.close();
    Launch(entry);
    m_entries.push_back(entry);
  }
  const int64_t deadline = NowMs() + kStartTimeoutMs;
  for (const Entry& entry : m_entries) {
    while (true) {
      const auto ready = Call(entry.readiness, "GET", "/v1/ready", kHost, "", 500);
      if (ready && ready->status == 200) break;
      if (NowMs() > deadline) {
        Record("entry " + entry.ip + " is not ready");
        return false;
      }
      Sleep(100);
    }
  }
  Record("all entries are ready");
  return true;
}

bool World::RestartLastWriter(int64_t after_ms) {
  std::vector<std::string> names;
  for (const Entry& entry : m_entries) names.push_back(entry.name);
  const std::string last = m_store.LastConditionalWriter(names);
  for (Entry& entry : m_entries) {
    if (entry.name != last) continue;
    Record("disruption: SIGKILL to " + entry.name + ", which starts again after " +
           std::to_string(after_ms) + " ms");
    kill(entry.process, SIGKILL);
    waitpid(entry.process, nullptr, 0);
    Sleep(after_ms);
    Launch(entry);
    return true;
  }
  return false;
}

void World::AnnounceWave(int number, const std::vector<std::string>& machines, int complete_by_s,
                         int max_count) {
  bj::array list;
  for (const std::string& machine : machines) list.emplace_back(machine);
  m_store.Put("op", "wave/" + std::to_string(number),
              bj::serialize(bj::object{{"wave", number},
                                       {"machines", std::move(list)},
                                       {"completeByS", complete_by_s},
                                       {"maxCount", max_count}}));
}

bool World::AllRun() {
  bool all = true;
  for (Entry& entry : m_entries) {
    if (entry.process <= 0 || waitpid(entry.process, nullptr, WNOHANG) == 0) continue;
    Record("entry " + entry.ip + " has ended by itself");
    entry.process = -1;
    all = false;
  }
  return all;
}

std::string World::Submit(const std::string& queue, const JobModel& model, int64_t first_due_ms,
                          int64_t interval_ms) {
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%08x%08x", static_cast<unsigned>(getpid()),
                static_cast<unsigned>(++m_last_job));
  const std::string job(id.data());
  m_workers.AddJob(job, model);
  bj::array steps;
  for (const StepModel& step : model.steps) steps.push_back(EncodeStep(step));
  bj::object body{{"spec", "work"}, {"steps", std::move(steps)}};
  if (model.times > 0) {
    body["times"] = model.times;
    body["firstDueMs"] = first_due_ms;
    body["intervalMs"] = interval_ms;
  }
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const Entry& entry = m_entries[m_next_entry++ % m_entries.size()];
    const auto answer = Call(entry.front, "POST", "/" + queue + "/" + job, kHost,
                             bj::serialize(body), kCallTimeoutMs);
    const int status = answer ? answer->status : 0;
    if (status / 100 == 2) {
      Record("sent " + queue + "/" + job + ", accepted");
      return job;
    }
    Record("sent " + queue + "/" + job + ", answer " + std::to_string(status));
    if (status != 0 && status < 500 && status != 429) return {};
    Sleep(300);
  }
  return {};
}

std::string World::StateOf(const std::string& queue, const std::string& job) {
  for (size_t attempt = 0; attempt < m_entries.size(); ++attempt) {
    const Entry& entry = m_entries[m_next_entry++ % m_entries.size()];
    const auto answer =
        Call(entry.front, "GET", "/" + queue + "/" + job, kHost, "", kCallTimeoutMs);
    if (answer && answer->status == 200) return StateIn(*answer);
    if (answer && answer->status == 410) return "410";
  }
  return {};
}

bool World::Cancel(const std::string& queue, const std::string& job) {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const Entry& entry = m_entries[m_next_entry++ % m_entries.size()];
    const auto answer =
        Call(entry.front, "DELETE", "/" + queue + "/" + job, kHost, "", kCallTimeoutMs);
    Record("DELETE " + queue + "/" + job + ", answer " +
           std::to_string(answer ? answer->status : 0));
    if (answer && (answer->status / 100 == 2 || answer->status == 410)) return true;
    Sleep(300);
  }
  return false;
}

bool World::WaitUntilCompleted(const std::string& queue, const std::string& job, int64_t for_ms) {
  const int64_t deadline = NowMs() + for_ms;
  while (NowMs() < deadline) {
    if (StateOf(queue, job) == "completed") return true;
    Sleep(200);
  }
  return false;
}

}  // namespace review
