#ifndef CITRONFERRY_DOCUMENT_INTERNAL_TOML_READER_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_TOML_READER_H_

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/toml.h"
#include "document/internal/problem_collector.h"
#include "document/internal/values.h"

namespace citronferry::document {

/// Reads typed values from one TOML table and reports each error with its line.
///
/// The functions that read a key return an empty result if the key is absent or its value is
/// invalid.
class TomlReader {
 public:
  /// @param path path of the table, such as "queue[0]"; empty for the root.
  /// @param problems receives the errors; must outlive the reader.
  TomlReader(const toml::table& table, std::string path, ProblemCollector& problems);

  std::optional<bool> Bool(std::string_view key);
  std::optional<int> Int(std::string_view key, int min, int max);
  std::optional<double> Number(std::string_view key, double min, double max);
  std::optional<std::string> Text(std::string_view key, Parsed<void> (*check)(std::string_view));
  std::vector<std::string> Texts(std::string_view key, Parsed<void> (*check)(std::string_view));
  /// Reads a string that must be one of the given names.
  /// @return the index of the value in `names`.
  std::optional<size_t> Choice(std::string_view key, std::span<const std::string_view> names);
  /// Reads a string and converts it with the given parser.
  template <typename T>
  std::optional<T> Value(std::string_view key, Parsed<T> (*parse)(std::string_view));
  /// @return a reader for each table in an array of tables.
  std::vector<TomlReader> Tables(std::string_view key);

  bool Contains(std::string_view key) const { return m_table.contains(key); }
  /// @return the path of a key of this table, as used in messages.
  std::string PathOf(std::string_view key) const;
  void Report(std::string_view key, std::string message);
  /// Reports each key of the table that none of the functions above was called for.
  void RejectUnknownKeys();

 private:
  /// Looks up a key and adds it to m_keys.
  /// @return its value, or null if the key is absent.
  const toml::node* Find(std::string_view key);

  const toml::table& m_table;
  std::string m_path;
  ProblemCollector& m_problems;
  std::set<std::string, std::less<>> m_keys;  ///< Keys that were looked up, present or not.
};

template <typename T>
std::optional<T> TomlReader::Value(std::string_view key, Parsed<T> (*parse)(std::string_view)) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> Parsed<std::optional<T>> {
        // A value of another type is parsed as an empty text, which fails with a message that
        // states what is allowed.
        BOOST_LEAF_AUTO(value, parse(node->value_exact<std::string>().value_or(std::string())));
        return std::optional<T>(std::move(value));
      },
      [&](const ValueError& error) -> std::optional<T> {
        Report(key, error.message);
        return std::nullopt;
      },
      [&]() -> std::optional<T> {
        Report(key, "is not valid");
        return std::nullopt;
      });
}

/// Parses a TOML text and reports a syntax error.
/// @return the root table, or nothing after a syntax error.
std::optional<toml::table> ParseToml(std::string_view text, ProblemCollector& problems);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_TOML_READER_H_
