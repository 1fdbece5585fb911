#ifndef CITRONFERRY_DECISIONS_SCHEDULING_TESTS_RUN_LEDGER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_TESTS_RUN_LEDGER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Records what executors have seen of each task, over all their incarnations and all owners.
class RunLedger {
 public:
  /// @param copies_allowed StepSpec::copies_allowed of the task's step.
  void OnStarted(const TaskId& task, int64_t run, TimePoint now, bool copies_allowed = false) {
    m_tasks[task].push_back({.run = run, .copies_allowed = copies_allowed, .started_at = now});
  }

  void OnEnded(const TaskId& task, int64_t run, RunEnd end, TimePoint now) {
    RecordedRun* entry = FindLast(task, run);
    if (!entry) return;
    entry->ended_at = now;
    entry->done = end == RunEnd::kDone;
  }

  /// Records that an owner acknowledged an end before the lease of its executor had expired.
  void OnAcknowledged(const TaskId& task, int64_t run, TimePoint now) {
    RecordedRun* entry = FindLast(task, run);
    if (!entry) return;
    entry->acknowledged = true;
    entry->known_at = std::min(entry->known_at.value_or(now), now);
  }

  /// Records that an executor listed an end whose lease had not expired since. Without a
  /// disruption, the end counts as acknowledged kListedEndDelay later.
  void OnListed(const TaskId& task, int64_t run, TimePoint now) {
    RecordedRun* entry = FindLast(task, run);
    if (entry && counts_listed_ends && !entry->known_at) entry->known_at = now + kListedEndDelay;
  }

  /// Records that the lease of an executor expired that had not forgotten an end yet.
  void OnLeaseExpired(const TaskId& task, int64_t run, TimePoint now) {
    RecordedRun* entry = FindLast(task, run);
    if (entry && !entry->acknowledged && entry->known_at > now) entry->known_at.reset();
  }

  /// Records that a job is shown as completed from now on.
  void OnShownCompleted(const JobId& job, TimePoint now) { m_completed.try_emplace(job, now); }

  /// @return a task that was started after a run of it had ended successfully, if that end was
  ///   acknowledged then or later; nothing if there is none.
  std::optional<std::string> FindRepeatedTask() const {
    for (const auto& [task, runs] : m_tasks) {
      for (const RecordedRun& first : runs) {
        if (first.copies_allowed || !first.done || !first.known_at) continue;
        for (const RecordedRun& second : runs) {
          if (&second == &first || second.started_at < *first.ended_at) continue;
          return Describe(task, second.run) + " was started after run " +
                 std::to_string(first.run) + " had succeeded";
        }
      }
    }
    return std::nullopt;
  }

  /// @return a task that was started more than kCopyGrace after a run of it had succeeded and that
  ///   end had been acknowledged, or after its job was shown as completed; nothing if there is
  ///   none. This holds where copies are allowed, too.
  std::optional<std::string> FindLateStart() const {
    for (const auto& [task, runs] : m_tasks) {
      std::optional<TimePoint> settled;
      for (const RecordedRun& run : runs) {
        if (run.done && run.known_at)
          settled = std::min(settled.value_or(*run.known_at), *run.known_at);
      }
      const auto completed = m_completed.find(task.job);
      if (completed != m_completed.end()) {
        settled = std::min(settled.value_or(completed->second), completed->second);
      }
      for (const RecordedRun& run : runs) {
        if (settled && run.started_at > *settled + kCopyGrace) {
          return Describe(task, run.run) + " was started late after its task had ended";
        }
      }
    }
    return std::nullopt;
  }

  /// Whether listed ends count as acknowledged, as they do while there is no disruption.
  bool counts_listed_ends = false;

 private:
  static constexpr Duration kListedEndDelay = 100ms;
  static constexpr Duration kCopyGrace = 1s;

  struct RecordedRun {
    int64_t run = 0;
    bool copies_allowed = false;
    TimePoint started_at{};
    std::optional<TimePoint> ended_at;
    bool done = false;
    bool acknowledged = false;
    std::optional<TimePoint> known_at;  ///< From when on its end counts as acknowledged.
  };

  static std::string Describe(const TaskId& task, int64_t run) {
    return task.job.str() + '.' + std::to_string(task.occurrence) + '.' +
           std::to_string(task.step) + '.' + std::to_string(task.index) + ": run " +
           std::to_string(run);
  }

  // A run id may be started on several incarnations of an executor; the last one is meant.
  RecordedRun* FindLast(const TaskId& task, int64_t run) {
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end()) return nullptr;
    const auto entry = std::find_if(found->second.rbegin(), found->second.rend(),
                                    [run](const RecordedRun& known) { return known.run == run; });
    return entry == found->second.rend() ? nullptr : &*entry;
  }

  std::map<TaskId, std::vector<RecordedRun>> m_tasks;
  std::map<JobId, TimePoint> m_completed;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TESTS_RUN_LEDGER_H_
