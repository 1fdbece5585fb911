#ifndef CITRONFERRY_NODE_PLANNER_INTERNAL_JSON_H_
#define CITRONFERRY_NODE_PLANNER_INTERNAL_JSON_H_

#include <QJsonDocument>
#include <QJsonObject>
#include <optional>
#include <string>
#include <string_view>

#include "node/qt_text.h"

namespace citronferry::node {

inline std::string ToText(const QJsonObject& json) {
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

inline std::optional<QJsonObject> ParseObject(std::string_view text) {
  const auto json = QJsonDocument::fromJson(
      QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size())));
  if (!json.isObject()) return std::nullopt;
  return json.object();
}

inline std::string StringOf(const QJsonObject& json, const char* key) {
  return json.value(QLatin1String(key)).toString().toStdString();
}

inline uint64_t NumberOf(const QJsonObject& json, const char* key) {
  return static_cast<uint64_t>(json.value(QLatin1String(key)).toInteger());
}

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_INTERNAL_JSON_H_
