#ifndef CITRONFERRY_REPLAY_INTERNAL_FIELDS_H_
#define CITRONFERRY_REPLAY_INTERNAL_FIELDS_H_

#include <QJsonObject>
#include <string>

#include "base/time.h"

namespace citronferry::replay {

inline std::string TextField(const QJsonObject& object, const char* key) {
  return object.value(QLatin1String(key)).toString().toStdString();
}

inline double NumberField(const QJsonObject& object, const char* key, double fallback) {
  return object.value(QLatin1String(key)).toDouble(fallback);
}

/// @return a field in milliseconds as a duration.
inline Duration MillisecondsField(const QJsonObject& object, const char* key, Duration fallback) {
  const QJsonValue value = object.value(QLatin1String(key));
  return value.isDouble() ? FromSeconds(value.toDouble() / 1000) : fallback;
}

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_INTERNAL_FIELDS_H_
