#include "platform/internal/task_name.h"

#include <array>
#include <charconv>

namespace citronferry::platform {

std::string FormatStep(const scheduling::TaskId& task) {
  return task.job.str() + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step);
}

std::string FormatTask(const scheduling::TaskId& task) {
  return FormatStep(task) + '.' + std::to_string(task.index);
}

std::optional<scheduling::TaskId> ParseTask(std::string_view name) {
  const size_t dot = name.find('.');
  if (dot == std::string_view::npos || dot == 0) return std::nullopt;
  scheduling::TaskId task{.job = JobId(name.substr(0, dot))};
  const std::array<int*, 3> numbers{&task.occurrence, &task.step, &task.index};
  const char* at = name.data() + dot;
  const char* const end = name.data() + name.size();
  for (int* number : numbers) {
    if (at == end || *at != '.') return std::nullopt;
    const auto [next, error] = std::from_chars(at + 1, end, *number);
    if (error != std::errc() || *number < 0) return std::nullopt;
    at = next;
  }
  return at == end ? std::optional(task) : std::nullopt;
}

}  // namespace citronferry::platform
