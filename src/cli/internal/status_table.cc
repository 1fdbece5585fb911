#include "cli/internal/status_table.h"

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <span>
#include <string_view>
#include <vector>

namespace citronferry::cli {
namespace {

struct Column {
  std::string_view title;
  const char* key;
};

/// Declares how an array of objects is shown as a table.
struct Table {
  std::string_view title;
  const char* key;
  std::span<const Column> columns;
};

constexpr std::array<Column, 3> kEntryColumns{{{"ENTRY", "id"},
                                               {"CONFIGURATION", "configuration_version"},
                                               {"ACKNOWLEDGED", "acknowledged_sequence"}}};
constexpr std::array<Column, 7> kPoolColumns{{{"POOL", "name"},
                                              {"INSTANCES", "instances"},
                                              {"SERVING", "serving"},
                                              {"MAX OUT", "max_unavailable"},
                                              {"WAITING", "waiting"},
                                              {"FREE SLOTS", "free_slots"},
                                              {"OUT", "out"}}};
constexpr std::array<Column, 5> kWaveColumns{{{"WAVE", "name"},
                                              {"POOL", "pool"},
                                              {"DONE", "done"},
                                              {"TOTAL", "total"},
                                              {"SECONDS LEFT", "seconds_left"}}};
constexpr std::array<Table, 3> kTables{{{"entries", "entries", kEntryColumns},
                                        {"pools", "pools", kPoolColumns},
                                        {"waves", "waves", kWaveColumns}}};

std::string FormatValue(const QJsonValue& value) {
  if (value.isString()) return value.toString().toStdString();
  if (value.isBool()) return value.toBool() ? "yes" : "no";
  if (value.isDouble()) return QString::number(value.toDouble(), 'g', 15).toStdString();
  if (!value.isArray()) return "-";
  std::string text;
  const QJsonArray items = value.toArray();
  for (const QJsonValue& item : items) {
    // An instance that is out of service is given by name or as an object that includes the reason.
    const QJsonObject object = item.toObject();
    const QJsonValue name = item.isObject() ? object.value(QLatin1String("instance")) : item;
    text += (text.empty() ? "" : ",") + FormatValue(name);
  }
  return text.empty() ? "-" : text;
}

std::string FormatKey(const QJsonObject& object, const char* key) {
  return FormatValue(object.value(QLatin1String(key)));
}

void AppendTable(const Table& table, const QJsonArray& rows, std::string& text) {
  if (rows.isEmpty()) return;
  std::vector<std::vector<std::string>> cells(1);
  for (const Column& column : table.columns) cells[0].emplace_back(column.title);
  for (const QJsonValue& row : rows) {
    std::vector<std::string>& line = cells.emplace_back();
    for (const Column& column : table.columns) {
      line.push_back(FormatKey(row.toObject(), column.key));
    }
  }
  text += '\n';
  for (const std::vector<std::string>& line : cells) {
    for (size_t i = 0; i + 1 < line.size(); ++i) {
      size_t width = 0;
      for (const auto& other : cells) width = std::max(width, other[i].size());
      text += line[i] + std::string(width - line[i].size() + 2, ' ');
    }
    text += line.back() + '\n';
  }
}

}  // namespace

std::string RenderStatus(const QJsonObject& status) {
  const QJsonObject configuration = status.value(QLatin1String("configuration")).toObject();
  std::string text = "entry " + FormatKey(status, "entry") + " (" +
                     FormatKey(status, "incarnation") + "): " + FormatKey(status, "lifecycle") +
                     "\nconfiguration version " + FormatKey(configuration, "version") +
                     ", digest " + FormatKey(configuration, "digest") + '\n';
  for (const Table& table : kTables) {
    AppendTable(table, status.value(QLatin1String(table.key)).toArray(), text);
  }
  const QJsonObject outcomes = status.value(QLatin1String("outcomes")).toObject();
  if (!outcomes.isEmpty()) text += "\noutcomes:";
  for (auto outcome = outcomes.begin(); outcome != outcomes.end(); ++outcome) {
    text += ' ' + outcome.key().toStdString() + '=' + FormatValue(outcome.value());
  }
  if (!outcomes.isEmpty()) text += '\n';
  return text;
}

}  // namespace citronferry::cli
