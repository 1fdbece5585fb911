#include "decisions/scheduling/types.h"

#include <algorithm>

namespace citronferry::scheduling {

Resources& Resources::operator+=(const Resources& other) {
  cpu_millicores += other.cpu_millicores;
  memory_mb += other.memory_mb;
  gpus += other.gpus;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millicores -= other.cpu_millicores;
  memory_mb -= other.memory_mb;
  gpus -= other.gpus;
  return *this;
}

double Cores(const Resources& resources) {
  constexpr double kMillicores = 1000;
  return static_cast<double>(resources.cpu_millicores) / kMillicores;
}

bool Fits(const Resources& request, const Resources& free) {
  return request.cpu_millicores <= free.cpu_millicores && request.memory_mb <= free.memory_mb &&
         request.gpus <= free.gpus;
}

Ret Validate(const JobDefinition& definition) {
  if (definition.steps.empty()) return {ErrorCode::kInvalidArgument, "the job has no steps"};
  int64_t tasks = 0;
  for (size_t i = 0; i < definition.steps.size(); ++i) {
    const StepSpec& step = definition.steps[i];
    if (step.replicas < 1) return {ErrorCode::kInvalidArgument, "a step has no tasks"};
    tasks += step.replicas;
    for (const int earlier : step.after) {
      if (earlier >= 0 && static_cast<size_t>(earlier) < i) continue;
      return {ErrorCode::kInvalidArgument, "a step may only follow earlier steps"};
    }
  }
  if (tasks > kMaxTasks || definition.schedule.occurrences > kMaxOccurrences) {
    return {ErrorCode::kInvalidArgument, "the job has too many tasks or occurrences"};
  }
  return MakeOk();
}

bool IsLongRunning(const JobDefinition& definition) {
  return std::any_of(definition.steps.begin(), definition.steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

}  // namespace citronferry::scheduling
