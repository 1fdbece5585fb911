#ifndef CITRONFERRY_CLI_INTERNAL_STATUS_TABLE_H_
#define CITRONFERRY_CLI_INTERNAL_STATUS_TABLE_H_

#include <QJsonObject>
#include <string>

namespace citronferry::cli {

/// Formats the status of an entry as plain-text tables. Absent values are shown as "-".
/// @param status body of GET /v1/status.
std::string RenderStatus(const QJsonObject& status);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_STATUS_TABLE_H_
