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

bool IsLongRunning(const JobDefinition& definition) {
  return std::any_of(definition.steps.begin(), definition.steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

}  // namespace citronferry::scheduling
