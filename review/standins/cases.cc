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
  constexpr int kStallMs = 50;  // Calls of this time take effect, but are not answered.
  constexpr int kOutageMs = 4450;
  constexpr int kCalmMs = 8000;
  if (!cluster.Start()) return Verdict::kNotRun;
  Load load(cluster, {.clients = 16, .pause_ms = 60, .job = MakeJob({.cpu = 500, .ms = 50})});
  Sleep(kCalmMs);
  for (int i = 0; i < kOutages; ++i) {
    if (trouble) {
      cluster.record().Write("store down");
      cluster.platform().GoDown(kStallMs);
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

Verdict RunWholeExecutors(Cluster& cluster, bool trouble) {
  constexpr int64_t kCalmMs = 6000;
  constexpr int kPoisoned = 6;
  constexpr int64_t kPoisonMs = 3000;
  constexpr int64_t kTrafficMs = 25000;
  constexpr int64_t kFinishMs = 14000;
  constexpr int64_t kIdleMs = 3000;
  if (!cluster.Start()) return Verdict::kNotRun;
  const std::string resident = NewJobId();
  const JobOptions resident_job{.replicas = cluster.options().executors,
                                .cpu = 1000,
                                .ms = 3600000,
                                .max_per_executor = 1,
                                .lasting = true};
  if (cluster.Submit(0, resident, MakeJob(resident_job)).status != 200) return Verdict::kNotRun;
  Load plain(cluster, {.clients = 12, .pause_ms = 250, .job = MakeJob({})});
  Sleep(kCalmMs);
  for (int i = 0; trouble && i < kPoisoned; ++i) {
    cluster.Submit(
        0, NewJobId(),
        MakeJob({.cpu = cluster.options().executor_cpu, .ms = 3600000, .lasting = true}));
    Sleep(kPoisonMs / kPoisoned);
  }
  Sleep(kTrafficMs);
  plain.Stop();
  cluster.record().Write("traffic ends");
  Sleep(kFinishMs + kIdleMs);
  const auto runs = ReadRuns(cluster.options().record);
  std::vector<std::string> violations;
  for (const std::string& job : plain.AcceptedJobs()) {
    if (runs.contains(job + ".0.0.0")) continue;
    violations.push_back(job + ": needs one core, and has not started " +
                         std::to_string(kFinishMs + kIdleMs) +
                         " ms after the end of the traffic (" + cluster.Show(0, job) +
                         "); each executor has 63 cores free");
  }
  return Report(cluster.record(), violations);
}

}  // namespace review
