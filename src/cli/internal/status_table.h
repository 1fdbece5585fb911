#ifndef CITRONFERRY_CLI_INTERNAL_STATUS_TABLE_H_
#define CITRONFERRY_CLI_INTERNAL_STATUS_TABLE_H_

#include <QJsonObject>
#include <string>

namespace citronferry::cli {

/// @return the status of an entry as tables for people; absent values are shown as "-".
std::string RenderStatus(const QJsonObject& status);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_STATUS_TABLE_H_
