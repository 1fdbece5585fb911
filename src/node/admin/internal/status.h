#ifndef CITRONFERRY_NODE_ADMIN_INTERNAL_STATUS_H_
#define CITRONFERRY_NODE_ADMIN_INTERNAL_STATUS_H_

#include <QByteArray>
#include <optional>
#include <string>
#include <string_view>

#include "node/node_context.h"

namespace citronferry::node {

/// @return the status of this entry as JSON; it contains no secrets.
QByteArray RenderStatus(const NodeContext& context);

/// Why an entry should receive no requests.
struct NotReadyReason {
  std::string_view code;  ///< Machine-readable, part of the readiness response.
  std::string message;    ///< For operators.
};

/// @return why this entry is not ready; nothing when it is.
std::optional<NotReadyReason> FindNotReadyReason(const NodeContext& context);

/// @param authorization value of the Authorization header.
/// @param token the operator token; an empty one matches nothing.
/// @return whether the header carries the token. The time that the comparison takes does not depend
///   on where the tokens differ.
bool IsAuthorized(std::string_view authorization, std::string_view token);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_ADMIN_INTERNAL_STATUS_H_
