#include "node/gateway/internal/team_authentication.h"

#include <sodium.h>

#include "http/authorization.h"
#include "node/node_context.h"

namespace citronferry::node {

std::optional<TeamName> AuthenticateTeam(const document::Document& document,
                                         std::string_view authorization) {
  const std::string_view token = http::BearerToken(authorization);
  if (token.empty()) return std::nullopt;
  const std::string digest = Sha256Hex(token);
  const document::Team* match = nullptr;
  // Compares with every team, so that the elapsed time does not reveal which one matched.
  for (const document::Team& team : document.teams) {
    if (team.token_sha256.size() == digest.size() &&
        sodium_memcmp(team.token_sha256.data(), digest.data(), digest.size()) == 0) {
      match = &team;
    }
  }
  if (!match) return std::nullopt;
  return match->name;
}

}  // namespace citronferry::node
