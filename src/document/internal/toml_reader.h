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

/// Reads typed values of one TOML table and reports every fault with its line.
///
/// Each function yields nothing when the key is absent or its value is faulty.
class TomlReader {
 public:
  /// @param path dotted path of the table, for messages.
  TomlReader(const toml::table& table, std::string path, ProblemCollector& problems);

  std::optional<bool> Bool(std::string_view key);
  std::optional<int> Int(std::string_view key, int min, int max);
  std::optional<double> Number(std::string_view key, double min, double max);
  std::optional<std::string> Text(std::string_view key, Parsed<void> (*check)(std::string_view));
  std::vector<std::string> Texts(std::string_view key, Parsed<void> (*check)(std::string_view));
  /// @return the index of a value among the names that are allowed.
  std::optional<size_t> Choice(std::string_view key, std::span<const std::string_view> names);
  /// Reads a string through a parser of its syntax.
  template <typename T>
  std::optional<T> Value(std::string_view key, Parsed<T> (*parse)(std::string_view));
  /// @return the tables of an array of tables, with their paths.
  std::vector<TomlReader> Tables(std::string_view key);

  bool Contains(std::string_view key) const { return m_table.contains(key); }
  std::string PathOf(std::string_view key) const;
  void Report(std::string_view key, std::string message);
  /// Reports each key that was not read.
  void RejectUnknownKeys();

 private:
  const toml::node* Find(std::string_view key);

  const toml::table& m_table;
  std::string m_path;
  ProblemCollector& m_problems;
  std::set<std::string, std::less<>> m_read;
};

template <typename T>
std::optional<T> TomlReader::Value(std::string_view key, Parsed<T> (*parse)(std::string_view)) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> Parsed<std::optional<T>> {
        // A value of another type fails the syntax check of the empty text, which names what is
        // allowed.
        BOOST_LEAF_AUTO(value, parse(node->value_exact<std::string>().value_or(std::string())));
        return std::optional<T>(std::move(value));
      },
      [&](const ValueFault& fault) -> std::optional<T> {
        Report(key, fault.message);
        return std::nullopt;
      },
      [&]() -> std::optional<T> {
        Report(key, "is not valid");
        return std::nullopt;
      });
}

/// Parses a TOML text. Reports a fault of its syntax.
std::optional<toml::table> ParseToml(std::string_view text, ProblemCollector& problems);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_TOML_READER_H_
