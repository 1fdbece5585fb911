#include "decisions/scheduling/types.h"

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

bool Fits(const Resources& request, const Resources& free) {
  return request.cpu_millicores <= free.cpu_millicores && request.memory_mb <= free.memory_mb &&
         request.gpus <= free.gpus;
}

bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

}  // namespace citronferry::scheduling
