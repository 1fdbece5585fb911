#ifndef CITRONFERRY_PLATFORM_INTERNAL_TASK_NAME_H_
#define CITRONFERRY_PLATFORM_INTERNAL_TASK_NAME_H_

#include <optional>
#include <string>
#include <string_view>

#include "decisions/scheduling/types.h"

namespace citronferry::platform {

/// @return the name of a task on the wire, JOB.OCCURRENCE.STEP.INDEX.
std::string FormatTask(const scheduling::TaskId& task);
/// @return the name of the task's step, JOB.OCCURRENCE.STEP.
std::string FormatStep(const scheduling::TaskId& task);
/// @return the task with this name, or nothing if the name is malformed.
std::optional<scheduling::TaskId> ParseTask(std::string_view name);

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_TASK_NAME_H_
