#ifndef CITRONFERRY_DOCUMENT_INTERNAL_TOML_READER_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_TOML_READER_H_

#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Debian's shared library is built with exceptions; parse errors are values here.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "document/document.h"

namespace citronferry::document {

/// Reads typed values of one TOML table and collects every fault with its line.
class TomlReader {
 public:
  /// @param path dotted path of the table, for messages.
  TomlReader(const toml::table& table, std::string path, std::vector<Problem>& problems)
      : m_table(table), m_path(std::move(path)), m_problems(problems) {}

  std::string RequiredString(std::string_view key);
  std::string String(std::string_view key, std::string_view fallback);
  bool Bool(std::string_view key, bool fallback);
  int Int(std::string_view key, int fallback, int min, int max);
  double Number(std::string_view key, double fallback, double min, double max);
  /// Reads a duration with a unit: "250ms", "30s", "15min", "28d".
  Duration Time(std::string_view key, Duration fallback, Duration min, Duration max);
  std::vector<std::string> Strings(std::string_view key);
  /// @return the index of a value in allowed, or the fallback.
  size_t Choice(std::string_view key, std::initializer_list<std::string_view> allowed,
                size_t fallback);
  /// @return the tables of an array of tables, with their paths.
  std::vector<TomlReader> Tables(std::string_view key);
  /// @return a sub-table, if present.
  std::optional<TomlReader> Table(std::string_view key);
  /// Reports each key that was not read.
  void RejectUnknownKeys();

  void Report(std::string_view key, std::string message);
  int LineOf(std::string_view key) const;

 private:
  const toml::node* Find(std::string_view key);

  const toml::table& m_table;
  std::string m_path;
  std::vector<Problem>& m_problems;
  std::set<std::string, std::less<>> m_read;
};

/// @return the duration of a number with a unit, or nothing if the text is not one.
std::optional<Duration> ParseDuration(std::string_view text);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_TOML_READER_H_
