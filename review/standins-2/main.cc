// Plays one case of the review against the program as it is deployed.
//
//   world CASE PROGRAM FOLDER RECORD
//
// TROUBLE=0 in the environment leaves out the disruption. Exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the case could not run.
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "record.h"
#include "world.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr int64_t kFinishMs = 14000;  // finish_s
constexpr int64_t kAckMs = 4000;
constexpr int64_t kWindowMs = 3000;  // "for 3 s" in the rule LOST

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

struct Paths {
  std::string program;
  std::string folder;
};

World* g_world = nullptr;

World& MakeWorld(const Paths& paths, Site site, std::vector<Queue> queues) {
  g_world = new World(paths.program, paths.folder, std::move(site), std::move(queues));
  return *g_world;
}

/// Checks the rule LOST on a job that nobody has cancelled, after the end of the traffic: for 3 s
/// it has nothing running while its turn has come, the capacity for it is there twice over, and
/// under half of the capacity is in use.
int CheckLost(World& world, const std::string& queue, const std::string& job, int64_t needed_cpu) {
  int64_t idle_since = NowMs();
  while (NowMs() - idle_since < kWindowMs) {
    if (!world.AllRun()) return kNotRun;
    const JobRuns runs = world.workers().RunsOf(job);
    const auto [used, capacity] = world.workers().Load();
    if (world.StateOf(queue, job) == "completed") {
      Record("job " + job + " is completed; the rule held");
      return kHeld;
    }
    const bool room = used * 2 < capacity && capacity - used >= 2 * needed_cpu;
    if (runs.running > 0 || !room) idle_since = NowMs();
    Sleep(50);
  }
  const JobRuns runs = world.workers().RunsOf(job);
  const auto [used, capacity] = world.workers().Load();
  Record("LOST: job " + job + " is shown as '" + world.StateOf(queue, job) + "', " +
         std::to_string(runs.started) + " starts, nothing runs for 3 s; " + std::to_string(used) +
         " of " + std::to_string(capacity) + " thousandths of cores are in use");
  return kBroken;
}

/// One executor after the other rejects starts for a short time; each holds a task that lasts.
int PlayUnhealthyExecutors(const Paths& paths) {
  constexpr int kExecutors = 10;
  constexpr int64_t kUnhealthyMs = 2500;
  constexpr int64_t kPauseMs = 800;
  constexpr int kMostEpisodes = 20;
  World& world = MakeWorld(paths, NdfSite(),
                           {{.name = "repair-send"}, {.name = "board-guard", .max_attempts = 4}});
  world.AddExecutors(kExecutors);
  if (!world.Start(3)) return kNotRun;
  const std::string lasting = world.Submit("board-guard", {.steps = {{.replicas = kExecutors,
                                                                      .cpu = 1300,
                                                                      .memory_mb = 8800,
                                                                      .lasts = true,
                                                                      .max_per_executor = 1}}});
  const int64_t deadline = NowMs() + 10000;
  while (world.workers().RunsOf(lasting).running < kExecutors) {
    if (NowMs() > deadline) return kNotRun;
    Sleep(100);
  }
  const JobModel small{.steps = {{.replicas = 4, .cpu = 1100, .memory_mb = 2300, .work_ms = 300}}};
  int64_t healthy_at = 0;
  for (int episodes = 0; episodes < kMostEpisodes;) {
    if (world.Submit("repair-send", small).empty()) return kNotRun;
    Sleep(kPauseMs);
    if (NowMs() < healthy_at) continue;
    Executor* executor = world.workers().LastStarter(3 * kPauseMs);
    if (!executor) break;
    ++episodes;
    if (!Trouble()) continue;
    Record("disruption: " + executor->id() + " rejects starts with 503 for 2.5 s");
    world.workers().Refuse(*executor, kUnhealthyMs);
    healthy_at = NowMs() + kUnhealthyMs;
  }
  const std::string last = world.Submit("repair-send", small);
  if (last.empty()) return kNotRun;
  Record("end of the traffic; all executors are healthy");
  Sleep(kFinishMs);
  return CheckLost(world, "repair-send", last, 4 * 1100);
}

/// @return the number of jobs of which a task was started after it had ended as done.
int CountSecondRuns(World& world, const std::vector<std::string>& jobs) {
  int twice = 0;
  for (const std::string& job : jobs) {
    const std::string found = world.workers().FindSecondRun(job);
    if (!found.empty() && twice++ < 5) Record("TWICE: " + found);
  }
  Record(std::to_string(twice) + " of " + std::to_string(jobs.size()) +
         " jobs have a task that was started after it had ended as done");
  return twice;
}

/// A large job that can never be done is handed in beside small jobs.
int PlayHopelessJob(const Paths& paths) {
  constexpr int kExecutors = 9;
  constexpr int kTasks = 3000;
  constexpr int64_t kPauseMs = 300;
  constexpr int64_t kTrafficMs = 20'000;
  constexpr int64_t kSettleMs = 15'000;
  World& world = MakeWorld(paths, NdfSite(), {{.name = "repair-send", .max_attempts = 4}});
  world.AddExecutors(kExecutors);
  if (!world.Start(3)) return kNotRun;
  const JobModel small{.steps = {{.replicas = 4, .cpu = 1100, .memory_mb = 2300, .work_ms = 300}}};
  std::vector<std::string> jobs{world.Submit("repair-send", small)};
  if (!world.WaitUntilCompleted("repair-send", jobs.front(), 10'000)) return kNotRun;
  const JobModel large{
      .steps = {
          {.replicas = kTasks, .cpu = 20, .memory_mb = 64, .work_ms = 1000, .fails = Trouble()}}};
  Record(Trouble() ? "disruption: a large job that can never be done is handed in"
                   : "a large job is handed in");
  const std::string large_job = world.Submit("repair-send", large);
  if (large_job.empty()) return kNotRun;
  const int64_t traffic_ends = NowMs() + kTrafficMs;
  while (NowMs() < traffic_ends) {
    jobs.push_back(world.Submit("repair-send", small));
    if (jobs.back().empty()) return kNotRun;
    Sleep(kPauseMs);
  }
  Record("end of the traffic; the store has rejected " + std::to_string(world.store().rejected()) +
         " transactions; the large job is shown as '" + world.StateOf("repair-send", large_job) +
         "'");
  Sleep(kSettleMs);
  if (!world.AllRun()) return kNotRun;
  const auto [listed, late] = world.workers().CountEnds(kAckMs);
  Record(std::to_string(late) + " of " + std::to_string(listed) +
         " ends that executors listed were not taken note of within ackMs");
  return CountSecondRuns(world, jobs) > 0 || late * 5 > listed ? kBroken : kHeld;
}

/// A process is killed while executors run many small tasks.
int PlayKilledOwner(const Paths& paths) {
  constexpr int kExecutors = 9;
  constexpr int kJobs = 20;
  constexpr int kTasks = 32;
  constexpr int64_t kDownMs = 3500;
  constexpr int64_t kSettleMs = 15'000;
  World& world = MakeWorld(paths, PackstringSite(), {{.name = "trail-quote"}});
  world.AddExecutors(kExecutors);
  if (!world.Start(3)) return kNotRun;
  const JobModel model{
      .steps = {{.replicas = kTasks, .cpu = 100, .memory_mb = 400, .work_ms = 1800}}};
  std::vector<std::string> jobs;
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(world.Submit("trail-quote", model));
    if (jobs.back().empty()) return kNotRun;
  }
  const int64_t deadline = NowMs() + 1500;
  const auto all_run = [&] {
    return std::all_of(jobs.begin(), jobs.end(), [&](const std::string& job) {
      return world.workers().RunsOf(job).running == kTasks;
    });
  };
  while (!all_run()) {
    if (NowMs() > deadline) return kNotRun;
    Sleep(10);
  }
  if (Trouble() && !world.RestartLastWriter(kDownMs)) return kNotRun;
  Sleep(kSettleMs);
  if (!world.AllRun()) return kNotRun;
  for (const std::string& job : jobs) {
    if (world.WaitUntilCompleted("trail-quote", job, 5000)) continue;
    Record("job " + job + " is not completed");
    return kNotRun;
  }
  return CountSecondRuns(world, jobs) > 0 ? kBroken : kHeld;
}

/// The only executor that is large enough for some jobs is lost for good while they wait, beside
/// small jobs of a queue with a lower priority that any executor can run.
int PlayLostLargeExecutor(const Paths& paths) {
  constexpr int kSmallExecutors = 9;
  constexpr int kLargeJobs = 60;
  constexpr int64_t kPauseMs = 100;
  World& world =
      MakeWorld(paths, NdfSite(),
                {{.name = "proof-build", .priority = 0}, {.name = "glue-plan", .priority = 1}});
  Executor& large = world.workers().Add(64000, 262144, "r1-0");
  world.AddExecutors(kSmallExecutors);
  if (!world.Start(3)) return kNotRun;
  const JobModel big{.steps = {{.replicas = 1, .cpu = 32000, .memory_mb = 65536, .work_ms = 300}}};
  const JobModel small{.steps = {{.replicas = 4, .cpu = 1100, .memory_mb = 2300, .work_ms = 300}}};
  for (const auto& [queue, model] :
       {std::pair("proof-build", big), std::pair("glue-plan", small)}) {
    const std::string first = world.Submit(queue, model);
    if (!world.WaitUntilCompleted(queue, first, 10'000)) return kNotRun;
  }
  if (Trouble()) {
    Record("disruption: executor " + large.id() + " is lost for good");
    world.workers().Crash(large);
  }
  std::string last;
  for (int i = 0; i < kLargeJobs; ++i) {
    if (world.Submit("proof-build", big).empty()) return kNotRun;
    if (i % 4 == 3) last = world.Submit("glue-plan", small);
    if (i % 4 == 3 && last.empty()) return kNotRun;
    Sleep(kPauseMs);
  }
  Record("end of the traffic");
  Sleep(kFinishMs);
  return CheckLost(world, "glue-plan", last, 4 * 1100);
}

/// A machine is due for upkeep in a service whose executors have no memory left for one more task
/// that lasts.
int PlayWaveInFullService(const Paths& paths) {
  constexpr int kExecutors = 9;
  constexpr int kMemoryMb = 21000;  // Three such tasks on an executor.
  constexpr int64_t kAwayMs = 6000;
  constexpr int64_t kCalmMs = 3000;
  constexpr int64_t kPlayMs = 60'000;
  World& world = MakeWorld(paths, NdfSite(),
                           {{.name = "board-guard", .max_attempts = 4}, {.name = "snap-feed"}});
  world.AddExecutors(kExecutors);
  if (!world.Start(3)) return kNotRun;
  const auto lasting = [&](int replicas) {
    return JobModel{.steps = {{.replicas = replicas,
                               .cpu = 1300,
                               .memory_mb = kMemoryMb,
                               .lasts = true,
                               .max_unavailable = 1}}};
  };
  const std::string pairs = world.Submit("board-guard", lasting(2 * kExecutors));
  const std::string singles = world.Submit("snap-feed", lasting(kExecutors));
  const int64_t deadline = NowMs() + 10'000;
  while (world.workers().RunsOf(pairs).running < 2 * kExecutors ||
         world.workers().RunsOf(singles).running < kExecutors) {
    if (NowMs() > deadline) return kNotRun;
    Sleep(100);
  }
  Sleep(6000);
  if (Trouble()) {
    Record("disruption: machine m-1 is due for upkeep within 26 s, one machine at once");
    world.AnnounceWave(1, {"m-1"}, 26, 1);
  }
  const int64_t ends = NowMs() + kPlayMs;
  int64_t calm_since = NowMs();
  while (NowMs() < ends) {
    if (!world.AllRun()) return kNotRun;
    const int away =
        world.workers().CountAway(pairs, kAwayMs) + world.workers().CountAway(singles, kAwayMs);
    const int free = world.workers().MostFreeMemory();
    if (away == 0 || free < 2 * kMemoryMb) calm_since = NowMs();
    if (NowMs() - calm_since >= kCalmMs) {
      Record("LOST: " + std::to_string(away) + " tasks that last have not run for " +
             std::to_string((kAwayMs + kCalmMs) / 1000) + " s, while an executor has " +
             std::to_string(free) + " MB of memory free and each needs " +
             std::to_string(kMemoryMb));
      return kBroken;
    }
    Sleep(100);
  }
  return kHeld;
}

int Play(const std::string& name, const Paths& paths) {
  const std::map<std::string, std::function<int(const Paths&)>> cases{
      {"unhealthy-executors", PlayUnhealthyExecutors},
      {"hopeless-job", PlayHopelessJob},
      {"lost-large-executor", PlayLostLargeExecutor},
      {"wave-in-full-service", PlayWaveInFullService},
      {"killed-owner", PlayKilledOwner}};
  const auto found = cases.find(name);
  const int result = found == cases.end() ? kNotRun : found->second(paths);
  if (g_world) g_world->Stop();
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return review::kNotRun;
  review::OpenRecord(argv[4]);
  const int result = review::Play(argv[1], {.program = argv[2], .folder = argv[3]});
  review::Record("exit " + std::to_string(result));
  // The threads of the stand-ins still run.
  _exit(result);
}
