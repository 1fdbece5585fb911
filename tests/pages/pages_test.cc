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

/// @return the texts that a pattern's first group matches.
std::set<std::string> FindCaptures(const std::string& text, const std::regex& pattern) {
  std::set<std::string> found;
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
    found.insert((*match)[1].str());
  }
  return found;
}

/// @return the sources, without tests, of the parts that run on the users' platform.
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

/// @return the events of the table in docs/OPERATIONS.md, "A2. Log events".
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

// Guards against events that an engineer on call finds in the log and not on the page.
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

// Guards against a page that tells of events that nothing writes.
TEST(PagesTest, EveryDocumentedEventIsWritten) {
  const std::string sources =
      ReadFleetSources() + ReadFile(kRepository / "src/cli/internal/fleet_command.cc") +
      ReadFile(kRepository / "src/telemetry/internal/bounded_log_writer.cc");
  for (const std::string& event : ReadDocumentedEvents()) {
    EXPECT_NE(sources.find(event), std::string::npos) << event;
  }
}

}  // namespace
}  // namespace citronferry
