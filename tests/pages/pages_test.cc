#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace citronferry {
namespace {

namespace fs = std::filesystem;

const fs::path kRepository = CITRONFERRY_REPOSITORY;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// @return the distinct texts captured by the first group of a pattern.
std::set<std::string> FindCaptures(const std::string& text, const std::regex& pattern) {
  std::set<std::string> found;
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
    found.insert((*match)[1].str());
  }
  return found;
}

/// @return the concatenated sources, without tests, of the folders whose log events the operations
///     page lists.
std::string ReadFleetSources() {
  std::string sources;
  for (const char* folder : {"src/fleet", "src/platform", "src/decisions/scheduling"}) {
    for (const auto& entry : fs::recursive_directory_iterator(kRepository / folder)) {
      const std::string path = entry.path().string();
      const std::string extension = entry.path().extension().string();
      const bool is_test =
          path.find("/tests/") != std::string::npos || path.find("/testing/") != std::string::npos;
      if (!is_test && (extension == ".cc" || extension == ".h")) sources += ReadFile(entry.path());
    }
  }
  return sources;
}

/// @return the event names in the first column of the table in docs/OPERATIONS.md, section A2.
std::set<std::string> ReadDocumentedEvents() {
  const std::string page = ReadFile(kRepository / "docs/OPERATIONS.md");
  const size_t begin = page.find("## A2.");
  const size_t end = page.find("\n## ", begin + 1);
  if (begin == std::string::npos || end == std::string::npos) return {};
  std::istringstream table(page.substr(begin, end - begin));
  std::set<std::string> events;
  for (std::string line; std::getline(table, line);) {
    if (!line.starts_with("| `")) continue;
    const std::string first_column = line.substr(0, line.find('|', 1));
    events.merge(FindCaptures(first_column, std::regex("`([a-z_]+)`")));
  }
  return events;
}

// Fails when the code logs an event that docs/OPERATIONS.md does not list; the engineer on call
// could then not look it up.
TEST(PagesTest, EveryEventIsDocumented) {
  const std::string sources = ReadFleetSources();
  std::set<std::string> written =
      FindCaptures(sources, std::regex(R"(Log\(\s*LogLevel::k\w+,\s*"([a-z_]+)\")"));
  written.merge(FindCaptures(sources, std::regex(R"(Note\(\s*(?:[^";]*\? )?"([a-z_]+)\")")));
  written.merge(FindCaptures(sources, std::regex(R"(Note\([^;]* : "([a-z_]+)\")")));
  EXPECT_GT(written.size(), 30u) << "the pattern no longer finds the events";
  const std::set<std::string> documented = ReadDocumentedEvents();
  for (const std::string& event : written) {
    EXPECT_TRUE(documented.contains(event)) << event;
  }
}

// Fails when docs/OPERATIONS.md lists an event that no source mentions, for example after the event
// was renamed or removed.
TEST(PagesTest, EveryDocumentedEventIsWritten) {
  const std::string sources =
      ReadFleetSources() + ReadFile(kRepository / "src/cli/internal/fleet_command.cc") +
      ReadFile(kRepository / "src/http/internal/server.cc") +
      ReadFile(kRepository / "src/telemetry/internal/bounded_log_writer.cc");
  for (const std::string& event : ReadDocumentedEvents()) {
    EXPECT_NE(sources.find(event), std::string::npos) << event;
  }
}

}  // namespace
}  // namespace citronferry
