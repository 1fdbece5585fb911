#ifndef CITRONFERRY_DOCUMENT_INTERNAL_PROBLEM_COLLECTOR_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_PROBLEM_COLLECTOR_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "document/document.h"

namespace citronferry::document {

/// Collects the errors in a TOML text and looks up their lines by path, such as "queue[0].name".
class ProblemCollector {
 public:
  /// Records the line of a table or a key.
  void SetLine(std::string path, int line) { m_lines[std::move(path)] = line; }
  /// Adds an error at the line of its path or, for an absent key, at the line of the enclosing
  /// table.
  void Report(std::string_view path, std::string message);
  /// @return the paths of the errors added so far.
  std::set<std::string, std::less<>> ReportedPaths() const;
  /// @return the errors ordered by line; the collector is empty afterwards.
  std::vector<Problem> TakeSorted();

 private:
  int FindLine(std::string_view path) const;

  std::map<std::string, int, std::less<>> m_lines;
  std::vector<Problem> m_problems;
};

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_PROBLEM_COLLECTOR_H_
