#include "document/internal/toml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace citronferry::document {
namespace {

struct Unit {
  std::string_view suffix;
  Duration length;
};

constexpr std::array<Unit, 5> kUnits{
    {{"ms", 1ms}, {"s", 1s}, {"min", 1min}, {"h", 1h}, {"d", 24h}}};

std::string DescribeDuration(Duration duration) {
  for (auto unit = kUnits.rbegin(); unit != kUnits.rend(); ++unit) {
    if (duration >= unit->length && duration % unit->length == Duration::zero()) {
      return std::to_string(duration / unit->length) + std::string(unit->suffix);
    }
  }
  return std::to_string(ToMilliseconds(duration)) + "ms";
}

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", value);
  return text.data();
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  int64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || count < 0) return std::nullopt;
  const std::string_view suffix = text.substr(static_cast<size_t>(end - text.data()));
  for (const Unit& unit : kUnits) {
    if (suffix != unit.suffix) continue;
    if (count > Duration::max() / unit.length) return std::nullopt;
    return count * unit.length;
  }
  return std::nullopt;
}

const toml::node* TomlReader::Find(std::string_view key) {
  m_read.emplace(key);
  return m_table.get(key);
}

int TomlReader::LineOf(std::string_view key) const {
  const toml::node* node = m_table.get(key);
  const auto line = node ? node->source().begin.line : m_table.source().begin.line;
  return static_cast<int>(line);
}

void TomlReader::Report(std::string_view key, std::string message) {
  const std::string path = m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
  m_problems.push_back({.line = LineOf(key), .key = path, .message = std::move(message)});
}

std::string TomlReader::RequiredString(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) {
    Report(key, "is missing; a non-empty string is required");
    return {};
  }
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    Report(key, "must be a non-empty string");
    return {};
  }
  return *value;
}

std::string TomlReader::String(std::string_view key, std::string_view fallback) {
  const toml::node* node = Find(key);
  if (!node) return std::string(fallback);
  const auto value = node->value_exact<std::string>();
  if (!value) Report(key, "must be a string");
  return value.value_or(std::string(fallback));
}

bool TomlReader::Bool(std::string_view key, bool fallback) {
  const toml::node* node = Find(key);
  if (!node) return fallback;
  const auto value = node->value_exact<bool>();
  if (!value) Report(key, "must be true or false");
  return value.value_or(fallback);
}

int TomlReader::Int(std::string_view key, int fallback, int min, int max) {
  const toml::node* node = Find(key);
  if (!node) return fallback;
  const auto value = node->value_exact<int64_t>();
  if (!value || *value < min || *value > max) {
    Report(key, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }
  return static_cast<int>(*value);
}

double TomlReader::Number(std::string_view key, double fallback, double min, double max) {
  const toml::node* node = Find(key);
  if (!node) return fallback;
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value || !(*value >= min && *value <= max)) {
    Report(key, "must be a number from " + FormatNumber(min) + " to " + FormatNumber(max));
    return fallback;
  }
  return *value;
}

Duration TomlReader::Time(std::string_view key, Duration fallback, Duration min, Duration max) {
  const toml::node* node = Find(key);
  if (!node) return fallback;
  const auto text = node->value_exact<std::string>();
  const auto value = text ? ParseDuration(*text) : std::nullopt;
  if (!value) {
    Report(key, "must be a duration with a unit (ms, s, min, h, d), such as \"30s\"");
    return fallback;
  }
  if (*value < min || *value > max) {
    Report(key, "must be from " + DescribeDuration(min) + " to " + DescribeDuration(max));
    return fallback;
  }
  return *value;
}

std::vector<std::string> TomlReader::Strings(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return {};
  const toml::array* array = node->as_array();
  if (!array) {
    Report(key, "must be an array of strings");
    return {};
  }
  std::vector<std::string> values;
  for (const toml::node& item : *array) {
    const auto value = item.value_exact<std::string>();
    if (!value || value->empty()) {
      Report(key, "must contain non-empty strings only");
      return {};
    }
    values.push_back(*value);
  }
  return values;
}

size_t TomlReader::Choice(std::string_view key, std::initializer_list<std::string_view> allowed,
                          size_t fallback) {
  const toml::node* node = Find(key);
  if (!node) return fallback;
  const auto value = node->value_exact<std::string>();
  const auto* found = value ? std::find(allowed.begin(), allowed.end(), *value) : allowed.end();
  if (found != allowed.end()) return static_cast<size_t>(found - allowed.begin());
  std::string message = "must be one of";
  for (std::string_view name : allowed) message += " \"" + std::string(name) + '"';
  Report(key, std::move(message));
  return fallback;
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

std::optional<TomlReader> TomlReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const toml::table* table = node->as_table();
  if (!table) {
    Report(key, "must be a table, written as [" + std::string(key) + "]");
    return std::nullopt;
  }
  return TomlReader(*table, std::string(key), m_problems);
}

void TomlReader::RejectUnknownKeys() {
  for (const auto& [key, node] : m_table) {
    if (m_read.contains(key.str())) continue;
    Report(key.str(), "is not a known key");
  }
}

}  // namespace citronferry::document
