#ifndef CITRONFERRY_NODE_QT_TEXT_H_
#define CITRONFERRY_NODE_QT_TEXT_H_

#include <QString>
#include <string_view>

namespace citronferry::node {

/// Converts UTF-8 text to a QString, as Qt's JSON classes need it.
inline QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_QT_TEXT_H_
