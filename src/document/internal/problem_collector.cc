#include "document/internal/problem_collector.h"

#include <algorithm>

namespace citronferry::document {

void ProblemCollector::Report(std::string_view path, std::string message) {
  m_problems.push_back(
      {.line = FindLine(path), .key = std::string(path), .message = std::move(message)});
}

std::set<std::string, std::less<>> ProblemCollector::ReportedPaths() const {
  std::set<std::string, std::less<>> paths;
  for (const Problem& problem : m_problems) paths.insert(problem.key);
  return paths;
}

std::vector<Problem> ProblemCollector::TakeSorted() {
  std::stable_sort(m_problems.begin(), m_problems.end(),
                   [](const Problem& a, const Problem& b) { return a.line < b.line; });
  return std::move(m_problems);
}

int ProblemCollector::FindLine(std::string_view path) const {
  while (true) {
    const auto found = m_lines.find(path);
    if (found != m_lines.end()) return found->second;
    const size_t separator = path.find_last_of(".[");
    if (separator == std::string_view::npos) return 0;
    path = path.substr(0, separator);
  }
}

}  // namespace citronferry::document
