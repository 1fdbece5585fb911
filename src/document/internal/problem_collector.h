#ifndef CITRONFERRY_DOCUMENT_INTERNAL_PROBLEM_COLLECTOR_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_PROBLEM_COLLECTOR_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "document/document.h"

namespace citronferry::document {

/// Collects the faults of a text and finds the line of each by its path, such as "queue[0].name".
class ProblemCollector {
 public:
  /// Remembers where a table or a key is in the text.
  void SetLine(std::string path, int line) { m_lines[std::move(path)] = line; }
  /// Adds a fault at the line of its path or, for an absent key, of the table that lacks it.
  void Report(std::string_view path, std::string message);
  /// @return the paths of the faults so far.
  std::set<std::string, std::less<>> Paths() const;
  /// @return the faults in the order of their lines.
  std::vector<Problem> TakeSorted();

 private:
  int FindLine(std::string_view path) const;

  std::map<std::string, int, std::less<>> m_lines;
  std::vector<Problem> m_problems;
};

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_PROBLEM_COLLECTOR_H_
