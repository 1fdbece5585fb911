#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_TEAM_AUTHENTICATION_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_TEAM_AUTHENTICATION_H_

#include <optional>
#include <string_view>

#include "document/document.h"

namespace citronferry::node {

/// Finds the team whose token an Authorization header carries. Compares digests in constant time.
/// @param authorization value of the Authorization header.
/// @return the team, or nothing when the token is missing or unknown.
std::optional<TeamName> AuthenticateTeam(const document::Document& document,
                                         std::string_view authorization);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_TEAM_AUTHENTICATION_H_
