#ifndef CITRONFERRY_NODE_PLANNER_INTERNAL_JSON_H_
#define CITRONFERRY_NODE_PLANNER_INTERNAL_JSON_H_

#include <QJsonDocument>
#include <QJsonObject>
#include <optional>
#include <string>
#include <string_view>

#include "node/qt_text.h"

namespace citronferry::node {

/// @return the object as JSON text without whitespace.
inline std::string ToCompactJson(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

/// @return the JSON object in a text, or nothing if the text is not one.
inline std::optional<QJsonObject> ParseJsonObject(std::string_view text) {
  const auto json = QJsonDocument::fromJson(
      QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size())));
  if (!json.isObject()) return std::nullopt;
  return json.object();
}

/// @return the string of a key; empty if it is missing or not a string.
inline std::string GetString(const QJsonObject& json, const char* key) {
  return json.value(QLatin1String(key)).toString().toStdString();
}

/// @return the integer of a key; 0 if it is missing or not an integer.
inline uint64_t GetNumber(const QJsonObject& json, const char* key) {
  return static_cast<uint64_t>(json.value(QLatin1String(key)).toInteger());
}

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_INTERNAL_JSON_H_
