#ifndef CITRONFERRY_NODE_QT_TEXT_H_
#define CITRONFERRY_NODE_QT_TEXT_H_

#include <QString>
#include <string_view>

namespace citronferry::node {

/// @return UTF-8 text as Qt's JSON classes take it.
inline QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_QT_TEXT_H_
