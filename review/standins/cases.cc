#include "cases.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "load.h"
#include "runs.h"

namespace review {
namespace {

void Sleep(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

Verdict Report(const Record& record, const std::vector<std::string>& violations) {
  for (const std::string& violation : violations) record.Write("BROKEN " + violation);
  record.Write("verdict " + std::to_string(violations.size()) + " violations");
  return violations.empty() ? Verdict::kHeld : Verdict::kBroken;
}

// @return the executor with the most starts so far.
int BusiestExecutor(const Cluster& cluster) {
  const ClusterOptions& options = cluster.options();
  std::vector<int> starts(static_cast<size_t>(options.executors));
  for (const auto& [task, list] : ReadRuns(options.record)) {
    for (const RecordedRun& run : list) {
      for (int i = 0; i < options.executors; ++i) {
        if (cluster.executor_id(i) == run.executor) ++starts[static_cast<size_t>(i)];
      }
    }
  }
  return static_cast<int>(std::max_element(starts.begin(), starts.end()) - starts.begin());
}

}  // namespace

Verdict RunRestartBehindCut(Cluster& cluster, bool trouble) {
  constexpr int kCuts = 3;
  constexpr int kCutMs = 1000;
  constexpr int kRestartMs = 100;
  constexpr int kCalmMs = 9000;
  if (!cluster.Start()) return Verdict::kNotRun;
  Load load(cluster, {.clients = 8, .pause_ms = 250, .job = MakeJob({.replicas = 2, .ms = 250})});
  Sleep(kCalmMs);
  for (int i = 0; i < kCuts; ++i) {
    if (trouble) {
      const int executor = BusiestExecutor(cluster);
      cluster.SetCutOff(executor, true);
      cluster.KillExecutor(executor);
      Sleep(kRestartMs);
      cluster.StartExecutor(executor);
      Sleep(kCutMs - kRestartMs);
      cluster.SetCutOff(executor, false);
    }
    Sleep(kCalmMs);
  }
  load.Stop();
  if (!load.WaitForJobs(20000)) cluster.record().Write("note: some jobs have not ended");
  return Report(cluster.record(), FindRepeatedRuns(ReadRuns(cluster.options().record)));
}

Verdict RunStoreDown(Cluster& cluster, bool trouble) {
  constexpr int kOutages = 4;
  constexpr int kOutageMs = 4500;
  constexpr int kCalmMs = 8000;
  if (!cluster.Start()) return Verdict::kNotRun;
  Load load(cluster, {.clients = 16, .pause_ms = 60, .job = MakeJob({.cpu = 500, .ms = 50})});
  Sleep(kCalmMs);
  for (int i = 0; i < kOutages; ++i) {
    if (trouble) {
      cluster.record().Write("store down");
      cluster.platform().GoDown(0);
      Sleep(kOutageMs);
      cluster.platform().ComeUp();
      cluster.record().Write("store up");
    }
    Sleep(kCalmMs);
  }
  load.Stop();
  Sleep(kCalmMs);
  const auto runs = ReadRuns(cluster.options().record);
  std::vector<std::string> violations;
  for (const auto& [job, answers] : load.statuses()) {
    const bool rejected = std::all_of(answers.begin(), answers.end(),
                                      [](int status) { return status == 503 || status == 429; });
    const auto run = runs.find(job + ".0.0.0");
    if (!rejected || run == runs.end()) continue;
    violations.push_back(job + ": all " + std::to_string(answers.size()) +
                         " submissions were rejected, and its task started on " +
                         run->second.front().executor + " at " +
                         std::to_string(run->second.front().begun_ms) + " ms");
  }
  return Report(cluster.record(), violations);
}

Verdict RunScheduledJob(Cluster& cluster, bool trouble) {
  constexpr int kOccurrences = 8;
  constexpr int64_t kFirstMs = 3000;
  constexpr int64_t kIntervalMs = 9000;
  constexpr int64_t kTaskMs = 1000;
  constexpr int64_t kKillAfterMs = 500;  // After an occurrence is due.
  constexpr int64_t kRestartMs = 1000;
  if (!cluster.Start()) return Verdict::kNotRun;
  const int64_t first_due_ms = UnixMs() + kFirstMs;
  const std::string job = NewJobId();
  const Answer answer = cluster.Submit(0, job,
                                       MakeJob({.replicas = 2,
                                                .ms = kTaskMs,
                                                .times = kOccurrences,
                                                .first_due_ms = first_due_ms,
                                                .interval_ms = kIntervalMs}));
  if (answer.status != 200) return Verdict::kNotRun;
  for (int i = 1; i + 1 < kOccurrences; i += 2) {
    Sleep(first_due_ms + i * kIntervalMs + kKillAfterMs - UnixMs());
    const int owner = cluster.Owner();
    if (!trouble || owner < 0) continue;
    cluster.KillEntry(owner);
    Sleep(kRestartMs);
    cluster.StartEntry(owner);
  }
  const int64_t deadline = NowMs() + first_due_ms + kOccurrences * kIntervalMs - UnixMs();
  while (cluster.Show(0, job) != "completed" && NowMs() < deadline) Sleep(1000);
  Sleep(1000);
  return Report(cluster.record(), FindRepeatedRuns(ReadRuns(cluster.options().record)));
}

Verdict RunLostKind(Cluster& cluster, bool trouble) {
  constexpr int64_t kCalmMs = 6000;
  constexpr int64_t kTrafficMs = 35000;
  constexpr int64_t kFinishMs = 14000;
  constexpr int64_t kIdleMs = 3000;
  if (!cluster.Start()) return Verdict::kNotRun;
  Load special(cluster, {.clients = 4, .pause_ms = 1000, .job = MakeJob({.required_label = "b"})});
  Load plain(cluster, {.clients = 4, .pause_ms = 1000, .job = MakeJob({}), .queue = "second"});
  Sleep(kCalmMs);
  if (trouble) cluster.KillExecutor(cluster.options().special_executor);
  Sleep(kTrafficMs);
  special.Stop();
  plain.Stop();
  cluster.record().Write("traffic ends");
  Sleep(kFinishMs + kIdleMs);
  const auto runs = ReadRuns(cluster.options().record);
  std::vector<std::string> violations;
  for (const std::string& job : plain.AcceptedJobs()) {
    if (runs.contains(job + ".0.0.0")) continue;
    violations.push_back(job + ": needs one core and no label, and has not started " +
                         std::to_string(kFinishMs + kIdleMs) +
                         " ms after the end of the traffic (" + cluster.Show(0, job, "second") +
                         "); seven executors have 64 cores each");
  }
  return Report(cluster.record(), violations);
}

Verdict RunAdvisedJob(Cluster& cluster, bool trouble) {
  constexpr int64_t kDeadTimeMs = 8000;  // Until the registry has dropped the lost executor.
  constexpr int64_t kFinishMs = 14000;
  constexpr int64_t kIdleMs = 3000;
  if (!cluster.Start()) return Verdict::kNotRun;
  const std::string daemon = NewJobId();
  if (cluster.Submit(0, daemon, MakeJob({.cpu = 4000, .ms = 3600000, .lasting = true})).status !=
      200) {
    return Verdict::kNotRun;
  }
  Sleep(2000);
  const auto runs = ReadRuns(cluster.options().record);
  const auto lasting = runs.find(daemon + ".0.0.0");
  if (lasting == runs.end()) return Verdict::kNotRun;
  const std::string loaded = lasting->second.front().executor;
  const int other = cluster.executor_id(0) == loaded ? 1 : 0;
  cluster.platform().SetAllowed({loaded, cluster.executor_id(other)});
  if (trouble) {
    cluster.KillExecutor(other);
    Sleep(kDeadTimeMs);
  }
  const std::string job = NewJobId();
  if (cluster.Submit(0, job, MakeJob({.ms = 250}), "advised").status != 200) {
    return Verdict::kNotRun;
  }
  Sleep(kFinishMs + kIdleMs);
  std::vector<std::string> violations;
  if (!ReadRuns(cluster.options().record).contains(job + ".0.0.0")) {
    violations.push_back(job + ": has not started, while " + loaded +
                         " is up, allowed for it and has room for it many times over");
  }
  return Report(cluster.record(), violations);
}

}  // namespace review
