#include "executor.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "http.h"
#include "platform.h"

namespace review {
namespace {

namespace bj = boost::json;

constexpr int64_t kMaxHoldMs = 10000;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kRegisterRetryMs = 100;
constexpr int64_t kStopMs = 50;
constexpr int64_t kStartupMs = 300;  // Of tasks that last.
constexpr int64_t kTickMs = 2;
constexpr int64_t kFullPercent = 100;

void Sleep(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::string Text(const bj::object& object, const char* name) {
  const bj::value* value = object.if_contains(name);
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<int64_t> Number(const bj::object& object, const char* name) {
  const bj::value* value = object.if_contains(name);
  if (!value || !value->is_number()) return std::nullopt;
  return value->to_number<int64_t>();
}

// The executor of one machine, which runs tasks for as many milliseconds as the job's `spec` says.
class Executor {
 public:
  explicit Executor(const ExecutorOptions& options)
      : m_options(options),
        m_record(options.record, options.started_ms, "executor=" + options.id),
        m_begun_ms(NowMs()),
        m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {}

  int Run() {
    HttpServer server(m_options.ip, m_options.port,
                      [this](const HttpRequest& request) { return Handle(request); });
    while (!server.Listen()) Sleep(5);
    m_record.Write("born " + std::to_string(m_born));
    std::thread([this] { Announce(); }).detach();
    while (true) {
      Sleep(kTickMs);
      Tick();
    }
  }

 private:
  struct ActiveTask {
    int64_t run = 0;
    int64_t begun_ms = 0;
    int64_t end_ms = 0;  // On the executor's clock.
    int64_t cpu = 0;
    bool lasting = false;
    bool stopping = false;
  };
  struct Ended {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  int64_t Clock() const { return NowMs() - m_begun_ms; }

  void Announce() {
    for (int64_t sequence = 1;; ++sequence) {
      const bj::object entry{
          {"backend", m_options.pool},
          {"address", m_options.announced},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"capacity", bj::object{{"cpu", m_options.cpu}, {"memMb", 262144}, {"gpus", 0}}},
          {"labels", bj::array{m_options.kind, "r1-1"}},
          {"born", m_born},
          {"clockMs", Clock()},
          {"seqNo", sequence}};
      const auto response = Call(m_options.platform, "POST", "/standin/register?id=" + m_options.id,
                                 "", bj::serialize(entry), 1000);
      Sleep(response && response->status == 200 ? kHeartbeatMs : kRegisterRetryMs);
    }
  }

  void End(const std::string& task, const std::string& how) {
    const ActiveTask active = m_active.at(task);
    m_active.erase(task);
    m_used -= active.cpu;
    m_highest[task] = std::max(m_highest[task], active.run);
    m_ended.push_back({.number = ++m_last_end, .task = task, .run = active.run, .how = how});
    m_record.Write("end " + task + " run=" + std::to_string(active.run) + " how=" + how +
                   " number=" + std::to_string(m_last_end));
    m_changed.notify_all();
  }

  void Tick() {
    const std::lock_guard lock(m_mutex);
    const bool lapsed = Clock() >= m_lease_until;
    std::vector<std::string> due;
    for (const auto& [task, active] : m_active) {
      if (lapsed || Clock() >= active.end_ms) due.push_back(task);
    }
    for (const std::string& task : due) {
      End(task, lapsed ? "lapsed" : m_active.at(task).stopping ? "stopped" : "done");
    }
  }

  HttpResponse Answer(int status, bj::object body) const {
    body["clockMs"] = Clock();
    return {.status = status, .body = bj::serialize(body)};
  }

  HttpResponse Refuse(const std::string& task, int64_t run, const char* reason) const {
    m_record.Write("refuse " + task + " run=" + std::to_string(run) + " reason=" + reason);
    return Answer(409, {{"reason", reason}});
  }

  std::optional<HttpResponse> Handle(const HttpRequest& request) {
    if (request.path == "/health") return HttpResponse{};
    if (request.Header("x-expect-instance") != m_options.id) return Answer(421, {});
    const bj::object body = bj::parse(request.body).as_object();
    std::unique_lock lock(m_mutex);
    const int64_t fence = Number(body, "fencingToken").value_or(0);
    const std::string task = Text(body, "task");
    const int64_t run = Number(body, "runId").value_or(0);
    if (fence < m_fence) return Refuse(task, run, "fence");
    m_fence = fence;
    if (request.path == "/v1/run-start") return Start(body, task, run);
    if (request.path == "/v1/run-stop") return Stop(task, run);
    if (request.path == "/v1/hold") return Hold(body, lock);
    if (request.path == "/v1/pace") return Answer(200, {});
    return Answer(404, {});
  }

  void ExtendLease(const bj::object& body) {
    const auto until = Number(body, "deadlineMs");
    if (until) m_lease_until = std::max(m_lease_until, std::min(*until, Clock() + kMaxHoldMs));
  }

  HttpResponse Start(const bj::object& body, const std::string& task, int64_t run) {
    const auto active = m_active.find(task);
    if (active != m_active.end() && active->second.run == run) return Answer(200, {});
    if (Number(body, "deadlineMs").value_or(0) <= Clock()) return Refuse(task, run, "late");
    ExtendLease(body);
    const auto highest = m_highest.find(task);
    const bool old = (highest != m_highest.end() && run <= highest->second) ||
                     (active != m_active.end() && run < active->second.run);
    if (old) return Refuse(task, run, "old");
    // The payload is the task's duration and the cores that it takes.
    const bj::object spec = bj::parse(Text(body, "spec")).as_object();
    const int64_t cpu = spec.at("cpu").to_number<int64_t>();
    if (m_used + cpu > m_options.cpu) return Refuse(task, run, "room");
    m_used += cpu;
    m_active[task] = {.run = run,
                      .begun_ms = Clock(),
                      .end_ms = Clock() + spec.at("ms").to_number<int64_t>(),
                      .cpu = cpu,
                      .lasting = spec.at("lasting").as_bool()};
    m_record.Write("start " + task + " run=" + std::to_string(run));
    return Answer(200, {});
  }

  HttpResponse Stop(const std::string& task, int64_t run) {
    m_highest[task] = std::max(m_highest[task], run);
    const auto active = m_active.find(task);
    if (active != m_active.end() && active->second.run <= run) {
      active->second.stopping = true;
      active->second.end_ms = std::min(active->second.end_ms, Clock() + kStopMs);
    }
    return Answer(200, {});
  }

  HttpResponse Hold(const bj::object& body, std::unique_lock<std::mutex>& lock) {
    ExtendLease(body);
    const int64_t seen = Number(body, "lastSeen").value_or(0);
    std::erase_if(m_ended, [this, seen](const Ended& ended) {
      if (ended.number > seen) return false;
      m_record.Write("noted " + ended.task + " run=" + std::to_string(ended.run) + " number=" +
                     std::to_string(ended.number) + " lastSeen=" + std::to_string(seen));
      return true;
    });
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(Number(body, "waitMs").value_or(0));
    m_changed.wait_until(lock, deadline, [this] { return !m_ended.empty(); });
    bj::array active;
    for (const auto& [task, run] : m_active) {
      const int64_t length = std::max<int64_t>(1, run.end_ms - run.begun_ms);
      const int64_t percent = (Clock() - run.begun_ms) * kFullPercent / length;
      const bool ready = run.lasting && Clock() - run.begun_ms > kStartupMs;
      active.push_back(
          bj::array{task, run.run, "", ready ? kFullPercent : std::min(percent, kFullPercent - 1)});
    }
    bj::array finished;
    for (const Ended& ended : m_ended) {
      finished.push_back(bj::array{ended.number, ended.task, ended.run, ended.how, ""});
    }
    return Answer(
        200, {{"active", std::move(active)}, {"finished", std::move(finished)}, {"born", m_born}});
  }

  const ExecutorOptions& m_options;
  Record m_record;
  int64_t m_begun_ms;
  int64_t m_born;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int64_t m_fence = 0;
  int64_t m_lease_until = 0;
  int64_t m_last_end = 0;
  int64_t m_used = 0;
  std::map<std::string, ActiveTask> m_active;
  std::map<std::string, int64_t> m_highest;  // Highest run that was stopped or has ended, by task.
  std::vector<Ended> m_ended;
};

}  // namespace

int RunExecutor(const ExecutorOptions& options) { return Executor(options).Run(); }

}  // namespace review
