#include "decisions/scheduling/job.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace citronferry::scheduling {
namespace {

constexpr char kDoneMark = 'D';
constexpr char kOpenMark = '-';
// Limits the memory of a job of which many occurrences are due at once; the others are opened when
// earlier ones have finished.
constexpr size_t kMaxOpenTasks = 10'000;

}  // namespace

Job::Job(std::shared_ptr<const JobDefinition> definition, TimePoint accepted_at, bool inherited)
    : m_definition(std::move(definition)), m_accepted_at(accepted_at), m_inherited(inherited) {
  if (!scheduled()) {
    m_occurrences.emplace(0, MakeOccurrence());
    m_next_occurrence = 1;
  }
}

Occurrence Job::MakeOccurrence() const {
  Occurrence occurrence;
  for (const StepSpec& spec : m_definition->steps) {
    Step step;
    step.tasks.resize(static_cast<size_t>(spec.replicas));
    step.open_dependencies = static_cast<int>(spec.after.size());
    occurrence.steps.push_back(std::move(step));
  }
  occurrence.open_steps = static_cast<int>(occurrence.steps.size());
  return occurrence;
}

void Job::OpenOccurrences(int64_t unix_ms) {
  const Schedule& schedule = m_definition->schedule;
  if (is_final()) return;
  const size_t tasks = std::accumulate(
      m_definition->steps.begin(), m_definition->steps.end(), size_t{0},
      [](size_t sum, const StepSpec& step) { return sum + static_cast<size_t>(step.replicas); });
  const size_t max_open = std::max<size_t>(1, kMaxOpenTasks / std::max<size_t>(1, tasks));
  while (m_next_occurrence < schedule.occurrences && m_occurrences.size() < max_open &&
         unix_ms >= schedule.first_due_unix_ms + m_next_occurrence * schedule.interval_ms) {
    OpenOccurrence(m_next_occurrence++);
  }
}

void Job::OpenOccurrence(int number) {
  if (is_final() || m_occurrences.contains(number)) return;
  if (number < m_finished_prefix || number >= m_definition->schedule.occurrences) return;
  if (m_finished_occurrences.contains(number)) return;
  m_occurrences.emplace(number, MakeOccurrence());
  estimate.reset();
}

Task* Job::FindTask(const TaskId& id) {
  const auto found = m_occurrences.find(id.occurrence);
  if (found == m_occurrences.end()) return nullptr;
  std::vector<Step>& steps = found->second.steps;
  if (id.step < 0 || static_cast<size_t>(id.step) >= steps.size()) return nullptr;
  std::vector<Task>& tasks = steps[static_cast<size_t>(id.step)].tasks;
  if (id.index < 0 || static_cast<size_t>(id.index) >= tasks.size()) return nullptr;
  return &tasks[static_cast<size_t>(id.index)];
}

Task& Job::AttemptHolder(const TaskId& id) {
  TaskId counted = id;
  if (spec(id.step).gang_scheduled) counted.index = 0;
  return *FindTask(counted);
}

void Job::MarkStarted() {
  if (m_state == JobState::kQueued) m_state = JobState::kRunning;
}

void Job::MarkBegun() {
  MarkStarted();
  m_begun = true;
}

void Job::MarkDone(const TaskId& id) {
  Task* task = FindTask(id);
  if (!task || task->done || is_final()) return;
  estimate.reset();
  Occurrence& occurrence = m_occurrences.at(id.occurrence);
  Step& step = occurrence.steps[static_cast<size_t>(id.step)];
  const bool whole_gang = spec(id.step).gang_scheduled;
  for (Task& member : step.tasks) {
    if (!whole_gang && &member != task) continue;
    member.done = true;
    member.checkpoint.clear();
    ++step.done_tasks;
  }
  MarkBegun();
  if (step.done_tasks < static_cast<int>(step.tasks.size())) return;
  FinishStep(occurrence, id.step);
  if (occurrence.open_steps > 0) return;
  m_occurrences.erase(id.occurrence);
  m_finished_occurrences.insert(id.occurrence);
  while (m_finished_occurrences.erase(m_finished_prefix) > 0) ++m_finished_prefix;
  if (m_finished_prefix >= std::max(1, m_definition->schedule.occurrences)) {
    m_state = JobState::kCompleted;
  }
}

void Job::FinishStep(Occurrence& occurrence, int step) {
  --occurrence.open_steps;
  occurrence.steps[static_cast<size_t>(step)].tickets.Clear();
  for (size_t i = 0; i < occurrence.steps.size(); ++i) {
    const std::vector<int>& after = m_definition->steps[i].after;
    occurrence.steps[i].open_dependencies -=
        static_cast<int>(std::count(after.begin(), after.end(), step));
  }
}

bool Job::MarkFailed(const TaskId& id, int64_t run, int max_attempts) {
  if (!FindTask(id) || is_final()) return false;
  MarkBegun();
  if (spec(id.step).long_running) return false;
  Task& counted = AttemptHolder(id);
  // After a takeover or a network partition, the ends of several runs may be reported in any order.
  if (std::find(counted.failed_runs.begin(), counted.failed_runs.end(), run) !=
      counted.failed_runs.end()) {
    return false;
  }
  counted.failed_runs.push_back(run);
  if (counted.failed_runs.size() < static_cast<size_t>(max_attempts)) return false;
  m_state = JobState::kFailed;
  return true;
}

void Job::MarkCancelled() {
  if (!is_final()) m_state = JobState::kCancelled;
}

JobProgress Job::Progress() const {
  JobProgress progress{
      .state = m_state, .team = m_definition->team, .finished_occurrences = m_finished_prefix};
  if (is_final()) return progress;
  for (const auto& [number, occurrence] : m_occurrences) {
    JobProgress::Occurrence record{.number = number};
    bool touched = false;
    for (size_t step = 0; step < occurrence.steps.size(); ++step) {
      std::string marks;
      const std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (size_t index = 0; index < tasks.size(); ++index) {
        const Task& task = tasks[index];
        marks += task.done ? kDoneMark : kOpenMark;
        touched |= task.done || !task.failed_runs.empty() || !task.checkpoint.empty();
        if (task.done) continue;
        for (const int64_t run : task.failed_runs) {
          progress.failed_runs.push_back({.occurrence = number,
                                          .step = static_cast<int>(step),
                                          .index = static_cast<int>(index),
                                          .run = run});
        }
        if (task.checkpoint.empty()) continue;
        progress.checkpoints.push_back({.occurrence = number,
                                        .step = static_cast<int>(step),
                                        .index = static_cast<int>(index),
                                        .value = task.checkpoint});
      }
      record.steps.push_back(std::move(marks));
    }
    // Thousands of occurrences may be open at once. One without any progress need not be known.
    if (touched) progress.occurrences.push_back(std::move(record));
  }
  // Occurrences that finished out of order are listed without steps.
  for (const int number : m_finished_occurrences)
    progress.occurrences.push_back({.number = number});
  return progress;
}

void Job::Restore(const JobProgress& progress) {
  m_finished_prefix = progress.finished_occurrences;
  std::erase_if(m_occurrences,
                [this](const auto& entry) { return entry.first < m_finished_prefix; });
  // Occurrences below a recorded one may not have been opened: a previous owner may have adopted
  // tasks of a later one. OpenOccurrence passes over those that are recorded.
  m_next_occurrence = std::max(m_next_occurrence, m_finished_prefix);
  for (const JobProgress::Occurrence& record : progress.occurrences) {
    if (record.steps.empty()) {
      m_finished_occurrences.insert(record.number);
      m_occurrences.erase(record.number);
      continue;
    }
    m_occurrences.try_emplace(record.number, MakeOccurrence());
    for (size_t step = 0; step < record.steps.size(); ++step) {
      const std::string& marks = record.steps[step];
      for (size_t index = 0; index < marks.size(); ++index) {
        const TaskId id{.job = m_definition->id,
                        .occurrence = record.number,
                        .step = static_cast<int>(step),
                        .index = static_cast<int>(index)};
        if (marks[index] == kDoneMark) MarkDone(id);
      }
    }
  }
  for (const JobProgress::Checkpoint& checkpoint : progress.checkpoints) {
    const TaskId id{.job = m_definition->id,
                    .occurrence = checkpoint.occurrence,
                    .step = checkpoint.step,
                    .index = checkpoint.index};
    if (Task* task = FindTask(id)) task->checkpoint = checkpoint.value;
  }
  for (const JobProgress::FailedRun& failed : progress.failed_runs) {
    const TaskId id{.job = m_definition->id,
                    .occurrence = failed.occurrence,
                    .step = failed.step,
                    .index = failed.index};
    if (Task* task = FindTask(id)) task->failed_runs.push_back(failed.run);
  }
  // The state may only tell that a start was ordered.
  m_begun |= progress.finished_occurrences > 0 || !progress.occurrences.empty() ||
             !progress.checkpoints.empty() || !progress.failed_runs.empty();
  m_state = progress.state;
}

}  // namespace citronferry::scheduling
