#include "runs.h"

#include <fstream>
#include <limits>
#include <sstream>

namespace review {
namespace {

// @return what follows "name=" in a word.
std::string After(const std::string& word, const std::string& name) {
  return word.rfind(name + "=", 0) == 0 ? word.substr(name.size() + 1) : std::string();
}

}  // namespace

std::map<std::string, std::vector<RecordedRun>> ReadRuns(const std::string& path) {
  std::map<std::string, std::vector<RecordedRun>> runs;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    int64_t at = 0;
    std::string source;
    std::string event;
    std::string task;
    std::string run;
    std::string how;
    words >> at >> source >> event >> task >> run >> how;
    if (source == "case" && event == "killed") {
      for (auto& [name, list] : runs) {
        for (RecordedRun& entry : list) {
          if (entry.executor != After(task, "executor") || entry.ended_ms) continue;
          entry.ended_ms = at;
          entry.how = "lost";
        }
      }
      continue;
    }
    const std::string executor = After(source, "executor");
    if (executor.empty() || After(run, "run").empty()) continue;
    std::vector<RecordedRun>& list = runs[task];
    const int64_t number = std::stoll(After(run, "run"));
    if (event == "start") {
      list.push_back({.executor = executor, .run = number, .begun_ms = at});
      continue;
    }
    for (RecordedRun& entry : list) {
      if (entry.executor != executor || entry.run != number) continue;
      if (event == "end") {
        entry.ended_ms = at;
        entry.how = After(how, "how");
      } else if (event == "noted") {
        entry.noted_ms = at;
      }
    }
  }
  return runs;
}

std::vector<std::string> FindRepeatedRuns(
    const std::map<std::string, std::vector<RecordedRun>>& runs) {
  std::vector<std::string> violations;
  const auto name = [](const RecordedRun& run) {
    return "run " + std::to_string(run.run) + " on " + run.executor + " (" +
           std::to_string(run.begun_ms) + " ms to " + std::to_string(run.ended_ms.value_or(-1)) +
           " ms, " + run.how + ")";
  };
  for (const auto& [task, list] : runs) {
    for (size_t i = 0; i < list.size(); ++i) {
      for (size_t k = i + 1; k < list.size(); ++k) {
        const int64_t ended = list[i].ended_ms.value_or(std::numeric_limits<int64_t>::max());
        if (list[k].begun_ms < ended) {
          violations.push_back(task + ": two runs at the same time: " + name(list[i]) + ", " +
                               name(list[k]));
        } else if (list[i].how == "done" && list[i].noted_ms) {
          violations.push_back(task + ": started after a run had ended done, whose end was taken " +
                               "note of at " + std::to_string(*list[i].noted_ms) +
                               " ms: " + name(list[i]) + ", " + name(list[k]));
        }
      }
    }
  }
  return violations;
}

}  // namespace review
