#include "executor.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <thread>

#include "record.h"

namespace review {
namespace {

namespace bj = boost::json;

constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kUpkeepMs = 2000;  // maintenanceS
constexpr int64_t kStartupMs = 300;  // Until a task that lasts is at work.
constexpr int64_t kStopMs = 50;
constexpr int64_t kTickMs = 5;
constexpr size_t kMaxListedEnds = 500;
constexpr int kReady = 100;
constexpr int64_t kForever = INT64_MAX;

int64_t Integer(const bj::object& call, const char* name) {
  const bj::value* value = call.if_contains(name);
  return value && value->is_number() ? value->to_number<int64_t>() : 0;
}

std::string Text(const bj::object& call, const char* name) {
  const bj::value* value = call.if_contains(name);
  return value && value->is_string() ? std::string(value->as_string().c_str()) : std::string();
}

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

}  // namespace

Workers::Workers(Store& store, std::string service, int64_t max_hold_ms)
    : m_store(store), m_service(std::move(service)), m_max_hold_ms(max_hold_ms) {
  std::thread([this] {
    while (true) {
      Tick();
      Sleep(kTickMs);
    }
  }).detach();
}

Executor& Workers::Add(int cpu, int memory_mb, const std::string& rack) {
  const std::lock_guard lock(m_mutex);
  const std::string number = std::to_string(++m_last_executor);
  m_executors.push_back(std::make_unique<Executor>(*this, m_service + "-" + number, "m-" + number,
                                                   cpu, memory_mb, rack));
  m_executors.back()->Heartbeat();
  return *m_executors.back();
}

void Workers::AddJob(const std::string& id, JobModel model) {
  const std::lock_guard lock(m_mutex);
  m_jobs[id] = std::move(model);
}

JobRuns Workers::RunsOf(const std::string& id) {
  const std::lock_guard lock(m_mutex);
  return m_runs[id];
}

std::string Workers::FindSecondRun(const std::string& id) {
  const std::lock_guard lock(m_mutex);
  for (const auto& [task, runs] : m_histories) {
    if (JobOf(task) != id) continue;
    for (const History& first : runs) {
      if (first.done_at < 0 || first.noted_at < 0) continue;
      for (const History& second : runs) {
        if (second.started_at <= first.done_at) continue;
        return task + ": run " + std::to_string(first.run) + " ended done on " + first.executor +
               " at " + std::to_string(first.done_at) + " ms, taken note of; run " +
               std::to_string(second.run) + " started on " + second.executor + " at " +
               std::to_string(second.started_at) + " ms" +
               (second.done_at >= 0 ? ", and ended done too" : "");
      }
    }
  }
  return {};
}

Workers::History* Workers::FindHistory(const std::string& task, int64_t run) {
  const auto found = m_histories.find(task);
  if (found == m_histories.end()) return nullptr;
  for (History& history : found->second) {
    if (history.run == run) return &history;
  }
  return nullptr;
}

std::pair<int, int> Workers::CountEnds(int64_t within_ms) {
  const std::lock_guard lock(m_mutex);
  int listed = 0;
  int late = 0;
  for (const auto& [task, runs] : m_histories) {
    for (const History& run : runs) {
      if (run.listed_at < 0 || NowMs() - run.listed_at <= within_ms) continue;
      ++listed;
      if (run.noted_at < 0 || run.noted_at - run.listed_at > within_ms) ++late;
    }
  }
  return {listed, late};
}

std::pair<int64_t, int64_t> Workers::Load() {
  const std::lock_guard lock(m_mutex);
  int64_t used = 0;
  int64_t capacity = 0;
  for (const auto& executor : m_executors) {
    if (!executor->m_up) continue;
    capacity += executor->m_cpu;
    for (const auto& active : executor->m_active) used += active.model.cpu;
  }
  return {used, capacity};
}

Executor* Workers::LastStarter(int64_t within_ms) {
  const std::lock_guard lock(m_mutex);
  Executor* last = nullptr;
  for (const auto& executor : m_executors) {
    if (executor->m_started_at == 0 || executor->m_started_at < NowMs() - within_ms) continue;
    if (!last || executor->m_started_at > last->m_started_at) last = executor.get();
  }
  return last;
}

void Workers::Refuse(Executor& executor, int64_t for_ms) {
  const std::lock_guard lock(m_mutex);
  executor.m_refuses_until = NowMs() + for_ms;
}

void Workers::Crash(Executor& executor) {
  const std::lock_guard lock(m_mutex);
  executor.m_up = false;
  for (const auto& active : executor.m_active) --m_runs[JobOf(active.task)].running;
  executor.m_active.clear();
  executor.m_server.Crash();
}

std::string Workers::Machines() {
  const std::lock_guard lock(m_mutex);
  bj::array machines;
  for (const auto& executor : m_executors) {
    // A machine that is back has a later executor.
    if (executor->m_back_at < 0) continue;
    const bool in_upkeep = executor->m_back_at > 0;
    bj::object machine{
        {"machineId", executor->m_machine},
        {"pool", m_service},
        {"state", executor->m_up ? "up" : (in_upkeep ? "upkeep" : "down")},
        {"zone", "zone-a"},
        {"labels", {"a", executor->m_rack}},
        {"capacity", {{"cpu", executor->m_cpu}, {"memMb", executor->m_memory_mb}, {"gpus", 0}}},
        {"id", executor->m_id}};
    machines.push_back(std::move(machine));
  }
  return bj::serialize(bj::object{{"machines", std::move(machines)}});
}

Response Workers::Upkeep(const std::string& body) {
  const std::lock_guard lock(m_mutex);
  const bj::value parsed = bj::parse(body);
  const std::string machine = Text(parsed.as_object(), "machineId");
  const int64_t wave = Integer(parsed.as_object(), "wave");
  const std::string done = std::to_string(wave) + "/" + machine;
  for (const auto& executor : m_executors) {
    if (executor->m_machine != machine || executor->m_back_at < 0) continue;
    if (m_maintained.contains(done)) return {.body = "{}"};
    if (!executor->m_up) return {.status = 409, .body = R"({"reason":"busy"})"};
    Record("upkeep of " + machine + " begins; executor " + executor->m_id + " ends");
    m_maintained.insert(done);
    for (const auto& active : executor->m_active) --m_runs[JobOf(active.task)].running;
    executor->m_active.clear();
    executor->m_up = false;
    executor->m_back_at = NowMs() + kUpkeepMs;
    executor->m_server.Crash();
    m_store.Remove("servers", executor->m_id);
    executor->m_heartbeat_at = kForever;
    return {.body = "{}"};
  }
  return {.status = 400, .body = "{}"};
}

int Workers::CountAway(const std::string& id, int64_t for_ms) {
  const std::lock_guard lock(m_mutex);
  int away = 0;
  for (const auto& [task, runs] : m_histories) {
    if (JobOf(task) != id) continue;
    const bool runs_now =
        std::any_of(runs.begin(), runs.end(), [](const History& run) { return run.ended_at < 0; });
    if (!runs_now && NowMs() - runs.back().ended_at >= for_ms) ++away;
  }
  return away;
}

int Workers::MostFreeMemory() {
  const std::lock_guard lock(m_mutex);
  int most = 0;
  for (const auto& executor : m_executors) {
    if (!executor->m_up) continue;
    int free = executor->m_memory_mb;
    for (const auto& active : executor->m_active) free -= active.model.memory_mb;
    most = std::max(most, free);
  }
  return most;
}

void Workers::Tick() {
  const std::lock_guard lock(m_mutex);
  const int64_t now = NowMs();
  bool ended = false;
  std::vector<Executor*> back;
  for (const auto& executor : m_executors) {
    if (executor->m_back_at > 0 && now >= executor->m_back_at) back.push_back(executor.get());
    if (!executor->m_up) {
      // The registry removes an entry after three heartbeat intervals of silence.
      if (executor->m_heartbeat_at != kForever &&
          now - executor->m_heartbeat_at > 3 * kHeartbeatMs) {
        executor->m_heartbeat_at = kForever;
        m_store.Remove("servers", executor->m_id);
      }
      continue;
    }
    if (now - executor->m_heartbeat_at >= kHeartbeatMs) executor->Heartbeat();
    const bool lapsed = executor->clock() >= executor->m_lease_until;
    for (size_t i = 0; i < executor->m_active.size();) {
      const Executor::Active active = executor->m_active[i];
      if (!lapsed && now < active.ends_at) {
        ++i;
        continue;
      }
      executor->m_active.erase(executor->m_active.begin() + static_cast<std::ptrdiff_t>(i));
      executor->Finish(active, now >= active.ends_at ? active.end : "lapsed");
      ended = true;
    }
  }
  for (Executor* previous : back) {
    previous->m_back_at = -1;
    const std::string id = m_service + "-" + std::to_string(++m_last_executor);
    Record("upkeep of " + previous->m_machine + " has ended; executor " + id + " joins");
    m_executors.push_back(std::make_unique<Executor>(
        *this, id, previous->m_machine, previous->m_cpu, previous->m_memory_mb, previous->m_rack));
    m_executors.back()->Heartbeat();
  }
  if (ended) m_ended.notify_all();
}

Executor::Executor(Workers& workers, std::string id, std::string machine, int cpu, int memory_mb,
                   std::string rack)
    : m_workers(workers),
      m_id(std::move(id)),
      m_machine(std::move(machine)),
      m_cpu(cpu),
      m_memory_mb(memory_mb),
      m_rack(std::move(rack)),
      m_born(UnixMs()),
      m_born_at(NowMs()),
      m_server([this](const Request& request) { return Handle(request); }) {}

int64_t Executor::clock() const { return 100'000 + NowMs() - m_born_at; }

bj::object Executor::Describe(const std::string& state) const {
  return {{"backend", m_workers.m_service},
          {"address", m_server.address()},
          {"zone", "zone-a"},
          {"version", "1"},
          {"slots", 8},
          {"state", state},
          {"coldLeftMs", 0},
          {"seqNo", m_sequence},
          {"born", m_born},
          {"capacity", {{"cpu", m_cpu}, {"memMb", m_memory_mb}, {"gpus", 0}}},
          {"labels", {"a", m_rack}}};
}

void Executor::Heartbeat() {
  ++m_sequence;
  m_heartbeat_at = NowMs();
  m_workers.m_store.Put("servers", m_id, bj::serialize(Describe("ready")));
}

const StepModel* Executor::FindModel(const std::string& task) const {
  const auto job = m_workers.m_jobs.find(JobOf(task));
  if (job == m_workers.m_jobs.end()) return nullptr;
  const size_t first = task.find('.');
  const size_t second = task.find('.', first + 1);
  const auto step = static_cast<size_t>(std::atoi(task.c_str() + second + 1));
  return step < job->second.steps.size() ? &job->second.steps[step] : nullptr;
}

Response Executor::Handle(const Request& request) {
  std::unique_lock lock(m_workers.m_mutex);
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != m_id) {
    return {.status = 421, .body = bj::serialize(bj::object{{"clockMs", clock()}})};
  }
  const bj::value body = bj::parse(request.body);
  const bj::object& call = body.as_object();
  if (request.path == "/v1/run-start") return Start(call);
  if (request.path == "/v1/run-stop") return Stop(call);
  if (request.path == "/v1/hold") return Hold(call, lock);
  if (request.path == "/v1/pace") {
    return {.body = bj::serialize(bj::object{{"clockMs", clock()}})};
  }
  return {.status = 404, .body = "{}"};
}

Response Executor::Refuse(const std::string& reason) const {
  return {.status = 409,
          .body = bj::serialize(bj::object{{"clockMs", clock()}, {"reason", reason}})};
}

bool Executor::IsFenced(const bj::object& call) {
  const int64_t token = Integer(call, "fencingToken");
  if (token < m_token) return true;
  m_token = token;
  return false;
}

void Executor::Extend(const bj::object& call) {
  const int64_t until = std::min(Integer(call, "deadlineMs"), clock() + m_workers.m_max_hold_ms);
  m_lease_until = std::max(m_lease_until, until);
}

Response Executor::Start(const bj::object& call) {
  const std::string task = Text(call, "task");
  const int64_t run = Integer(call, "runId");
  if (NowMs() < m_refuses_until) {
    Record("executor " + m_id + ": 503 to the start of " + task);
    return {.status = 503, .body = "{}"};
  }
  if (IsFenced(call)) return Refuse("fence");
  const StepModel* model = FindModel(task);
  if (!model) {
    Record("executor " + m_id + ": told to start " + task + ", which no client sent");
    return {.status = 400, .body = "{}"};
  }
  if (Integer(call, "deadlineMs") <= clock()) return Refuse("late");
  Extend(call);
  int64_t cpu = model->cpu;
  int64_t memory = model->memory_mb;
  for (const Active& active : m_active) {
    if (active.task == task && active.run == run) {
      return {.body = bj::serialize(bj::object{{"clockMs", clock()}})};
    }
    if (active.task == task && run < active.run) return Refuse("old");
    cpu += active.model.cpu;
    memory += active.model.memory_mb;
  }
  const auto highest = m_highest_run.find(task);
  if (highest != m_highest_run.end() && run <= highest->second) return Refuse("old");
  if (cpu > m_cpu || memory > m_memory_mb) return Refuse("room");
  const int64_t now = NowMs();
  Active active{.task = task, .run = run, .model = *model, .started_at = now};
  active.ends_at = model->lasts ? kForever : now + model->work_ms;
  if (model->fails) active.end = "failed";
  m_active.push_back(active);
  m_workers.m_histories[task].push_back({.run = run, .executor = m_id, .started_at = now});
  if (!model->lasts) m_started_at = now;
  JobRuns& runs = m_workers.m_runs[JobOf(task)];
  ++runs.started;
  ++runs.running;
  if (runs.started <= 20) Record("start " + task + " run " + std::to_string(run) + " on " + m_id);
  return {.body = bj::serialize(bj::object{{"clockMs", clock()}})};
}

Response Executor::Stop(const bj::object& call) {
  if (IsFenced(call)) return Refuse("fence");
  const std::string task = Text(call, "task");
  const int64_t run = Integer(call, "runId");
  int64_t& highest = m_highest_run[task];
  highest = std::max(highest, run);
  for (Active& active : m_active) {
    if (active.task != task || active.run != run || active.end == "stopped") continue;
    active.end = "stopped";
    active.ends_at = NowMs() + kStopMs;
  }
  return {.body = bj::serialize(bj::object{{"clockMs", clock()}})};
}

Response Executor::Hold(const bj::object& call, std::unique_lock<std::mutex>& lock) {
  if (IsFenced(call)) return Refuse("fence");
  const int64_t seen = Integer(call, "lastSeen");
  while (!m_ends.empty() && std::get<0>(m_ends.front()) <= seen) {
    const auto& [number, task, run, how] = m_ends.front();
    Workers::History* history = m_workers.FindHistory(task, run);
    if (history) history->noted_at = NowMs();
    m_ends.pop_front();
  }
  if (call.if_contains("deadlineMs")) Extend(call);
  const auto wait = std::chrono::milliseconds(Integer(call, "waitMs"));
  m_workers.m_ended.wait_for(lock, wait, [this] { return !m_ends.empty() || !m_up; });
  const int64_t now = NowMs();
  bj::array active;
  for (const Active& run : m_active) {
    const int64_t whole = run.model.lasts ? kStartupMs : std::max<int64_t>(1, run.model.work_ms);
    const int64_t percent = std::min<int64_t>(kReady, (now - run.started_at) * kReady / whole);
    active.push_back(bj::array{run.task, run.run, "", percent, run.model.cpu});
  }
  bj::array finished;
  for (const auto& [number, task, run, how] : m_ends) {
    if (finished.size() >= kMaxListedEnds) break;
    finished.push_back(bj::array{number, task, run, how, ""});
    Workers::History* history = m_workers.FindHistory(task, run);
    if (history && history->listed_at < 0) history->listed_at = now;
  }
  return {.body = bj::serialize(bj::object{{"clockMs", clock()},
                                           {"born", m_born},
                                           {"active", std::move(active)},
                                           {"finished", std::move(finished)}})};
}

void Executor::Finish(const Active& active, const std::string& end) {
  m_ends.emplace_back(++m_last_end, active.task, active.run, end);
  int64_t& highest = m_highest_run[active.task];
  highest = std::max(highest, active.run);
  JobRuns& runs = m_workers.m_runs[JobOf(active.task)];
  --runs.running;
  if (end == "done") ++runs.done;
  Workers::History* history = m_workers.FindHistory(active.task, active.run);
  if (history) history->ended_at = NowMs();
  if (history && end == "done") history->done_at = NowMs();
  if (end == "failed") ++runs.failed;
  if (runs.done + runs.failed <= 20 || end == "lapsed") {
    Record("end " + active.task + " run " + std::to_string(active.run) + " on " + m_id + " " + end);
  }
}

}  // namespace review
