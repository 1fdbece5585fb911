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
  void OnStarted(const TaskId& task, int64_t run, TimePoint now) {
    m_tasks[task].push_back({.run = run, .started_at = now});
  }

  void OnEnded(const TaskId& task, int64_t run, RunEnd end, TimePoint now) {
    RecordedRun* entry = FindLast(task, run);
    if (!entry) return;
    entry->ended_at = now;
    entry->done = end == RunEnd::kDone;
  }

  /// Records that an owner acknowledged an end before the lease of its executor had expired.
  void OnAcknowledged(const TaskId& task, int64_t run) {
    if (RecordedRun* entry = FindLast(task, run)) entry->acknowledged = true;
  }

  /// @return a task that was started after a run of it had ended successfully, if that end was
  ///   acknowledged then or later; nothing if there is none.
  std::optional<std::string> FindRepeatedTask() const {
    for (const auto& [task, runs] : m_tasks) {
      for (const RecordedRun& first : runs) {
        if (!first.done || !first.acknowledged) continue;
        for (const RecordedRun& second : runs) {
          if (&second == &first || second.started_at < *first.ended_at) continue;
          return task.job.str() + '.' + std::to_string(task.occurrence) + '.' +
                 std::to_string(task.step) + '.' + std::to_string(task.index) + ": run " +
                 std::to_string(second.run) + " was started after run " +
                 std::to_string(first.run) + " had succeeded";
        }
      }
    }
    return std::nullopt;
  }

 private:
  struct RecordedRun {
    int64_t run = 0;
    TimePoint started_at{};
    std::optional<TimePoint> ended_at;
    bool done = false;
    bool acknowledged = false;
  };

  // A run id may be started on several incarnations of an executor; the last one is meant.
  RecordedRun* FindLast(const TaskId& task, int64_t run) {
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end()) return nullptr;
    const auto entry = std::find_if(found->second.rbegin(), found->second.rend(),
                                    [run](const RecordedRun& known) { return known.run == run; });
    return entry == found->second.rend() ? nullptr : &*entry;
  }

  std::map<TaskId, std::vector<RecordedRun>> m_tasks;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TESTS_RUN_LEDGER_H_
