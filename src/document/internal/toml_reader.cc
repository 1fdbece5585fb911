#include "document/internal/toml_reader.h"

#include <algorithm>

namespace citronferry::document {

TomlReader::TomlReader(const toml::table& table, std::string path, ProblemCollector& problems)
    : m_table(table), m_path(std::move(path)), m_problems(problems) {
  if (!m_path.empty()) m_problems.SetLine(m_path, static_cast<int>(table.source().begin.line));
  for (const auto& [key, node] : m_table) {
    m_problems.SetLine(PathOf(key.str()), static_cast<int>(key.source().begin.line));
  }
}

std::string TomlReader::PathOf(std::string_view key) const {
  return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void TomlReader::Report(std::string_view key, std::string message) {
  m_problems.Report(PathOf(key), std::move(message));
}

const toml::node* TomlReader::Find(std::string_view key) {
  m_keys.emplace(key);
  return m_table.get(key);
}

std::optional<bool> TomlReader::Bool(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<bool>();
  if (!value) Report(key, "must be true or false");
  return value;
}

std::optional<int> TomlReader::Int(std::string_view key, int min, int max) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<int64_t>();
  if (!value || *value < min || *value > max) {
    Report(key, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return std::nullopt;
  }
  return static_cast<int>(*value);
}

std::optional<double> TomlReader::Number(std::string_view key, double min, double max) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  // Negated so that NaN, for which every comparison is false, is rejected.
  if (!value || !(*value >= min && *value <= max)) {
    Report(key, "must be a number from " + FormatNumber(min) + " to " + FormatNumber(max));
    return std::nullopt;
  }
  return value;
}

std::optional<std::string> TomlReader::Text(std::string_view key,
                                            Parsed<void> (*check)(std::string_view)) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto text = node->value_exact<std::string>();
  return boost::leaf::try_handle_all(
      [&]() -> Parsed<std::optional<std::string>> {
        BOOST_LEAF_CHECK(check(text.value_or(std::string())));
        return text;
      },
      [&](const ValueError& error) -> std::optional<std::string> {
        Report(key, error.message);
        return std::nullopt;
      },
      [&]() -> std::optional<std::string> {
        Report(key, "is not valid");
        return std::nullopt;
      });
}

std::vector<std::string> TomlReader::Texts(std::string_view key,
                                           Parsed<void> (*check)(std::string_view)) {
  const toml::node* node = Find(key);
  if (!node) return {};
  const toml::array* array = node->as_array();
  if (!array) {
    Report(key, "must be an array of strings");
    return {};
  }
  std::vector<std::string> values;
  for (size_t i = 0; i < array->size(); ++i) {
    const toml::node& item = *array->get(i);
    const std::string item_key = std::string(key) + "[" + std::to_string(i) + "]";
    m_problems.SetLine(PathOf(item_key), static_cast<int>(item.source().begin.line));
    values.push_back(item.value_exact<std::string>().value_or(std::string()));
    boost::leaf::try_handle_all([&]() -> Parsed<void> { return check(values.back()); },
                                [&](const ValueError& error) { Report(item_key, error.message); },
                                [&] { Report(item_key, "is not valid"); });
  }
  return values;
}

std::optional<size_t> TomlReader::Choice(std::string_view key,
                                         std::span<const std::string_view> names) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<std::string>();
  const auto found = value ? std::find(names.begin(), names.end(), *value) : names.end();
  if (found != names.end()) return static_cast<size_t>(found - names.begin());
  std::string message = "must be one of";
  for (std::string_view name : names) message += " \"" + std::string(name) + '"';
  Report(key, std::move(message));
  return std::nullopt;
}

std::vector<TomlReader> TomlReader::Tables(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return {};
  const toml::array* array = node->as_array();
  std::vector<TomlReader> tables;
  for (size_t i = 0; array && i < array->size(); ++i) {
    const toml::table* table = array->get(i)->as_table();
    if (!table) break;
    tables.emplace_back(*table, std::string(key) + "[" + std::to_string(i) + "]", m_problems);
  }
  if (!array || tables.size() != array->size()) {
    Report(key, "must be an array of tables, written as [[" + std::string(key) + "]]");
  }
  return tables;
}

void TomlReader::RejectUnknownKeys() {
  std::string allowed;
  for (const std::string& key : m_keys) allowed += (allowed.empty() ? "" : ", ") + key;
  for (const auto& [key, node] : m_table) {
    if (!m_keys.contains(key.str())) Report(key.str(), "is not a known key; allowed: " + allowed);
  }
}

std::optional<toml::table> ParseToml(std::string_view text, ProblemCollector& problems) {
  toml::parse_result parsed = toml::parse(text);
  if (parsed) return std::move(parsed).table();
  problems.SetLine("", static_cast<int>(parsed.error().source().begin.line));
  problems.Report("", std::string(parsed.error().description()));
  return std::nullopt;
}

}  // namespace citronferry::document
