#include "cli/internal/files.h"

#include <boost/leaf.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace citronferry::cli {
namespace {

namespace leaf = boost::leaf;

struct FileError {
  std::string path;
  std::string_view reason;
};

leaf::result<std::string> LoadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  // Copying an empty file would set the fail bit of `content`.
  if (file && file.peek() != std::ifstream::traits_type::eof()) content << file.rdbuf();
  if (!file.is_open() || file.bad() || content.bad()) {
    return leaf::new_error(FileError{.path = path, .reason = "cannot be read"});
  }
  return content.str();
}

leaf::result<std::string> LoadToken(const std::string& path) {
  BOOST_LEAF_AUTO(content, LoadFile(path));
  std::string token = content.substr(0, content.find_first_of("\r\n"));
  if (token.empty()) {
    return leaf::new_error(
        FileError{.path = path, .reason = "contains no token in the first line"});
  }
  return token;
}

std::optional<std::string> LoadOrPrintError(leaf::result<std::string> (*load)(const std::string&),
                                            const std::string& path) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(content, load(path));
        return std::optional<std::string>(std::move(content));
      },
      [](const FileError& error) -> std::optional<std::string> {
        std::cerr << error.path << ": " << error.reason << '\n';
        return std::nullopt;
      },
      [&]() -> std::optional<std::string> {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
      });
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  return LoadOrPrintError(&LoadFile, path);
}

std::optional<std::string> ReadTokenFile(const std::string& path) {
  return LoadOrPrintError(&LoadToken, path);
}

void PrintProblems(std::string_view file, std::span<const document::Problem> problems) {
  for (const document::Problem& problem : problems) {
    std::cerr << file << ':' << problem.line << ": ";
    if (!problem.key.empty()) std::cerr << problem.key << ' ';
    std::cerr << problem.message << '\n';
  }
}

std::optional<document::Document> ParseAndReport(std::string_view name, std::string_view text) {
  document::ParseResult result = document::ParseDocument(text);
  PrintProblems(name, result.problems);
  if (!result.problems.empty()) return std::nullopt;
  return std::move(result.document);
}

}  // namespace citronferry::cli
