#include <array>

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr std::array<Field<Team>, 5> kFields{{
    {"name", RequiredName<&Team::name>(), "", "Identifies the team."},
    {"weight", NumberType<Team>{&Team::weight, 0.01, 1000}, "relative to other teams",
     "Share of a contended pool."},
    {"max_in_flight", IntegerType<Team>{&Team::max_in_flight, 1, 100'000}, "requests",
     "Requests of the team that run at the same time."},
    {"queues", NamesOf<&Team::queues>(), "",
     "Queues that the team may use. An empty list allows every queue."},
    {"token_sha256",
     TextOf<&Team::token_sha256>(&CheckDigest, "64 lower-case hexadecimal digits",
                                 Presence::kRequired),
     "", "SHA-256 of the team's bearer token, as printed by `citronferry hash-token`."},
}};

std::vector<ValidationError> RequireQueues(const Document& document, const Team& team) {
  std::vector<ValidationError> errors;
  for (size_t i = 0; i < team.queues.size(); ++i) {
    if (FindByName(document.queues, team.queues[i])) continue;
    errors.push_back({"queues[" + std::to_string(i) + "]",
                      "names an undeclared queue \"" + team.queues[i].str() +
                          "\"; declared: " + ListNames(document.queues)});
  }
  return errors;
}

/// Rule: tokens are unique, since a caller's team is determined by its token.
std::vector<ValidationError> RequireUniqueToken(const Document& document, const Team& team) {
  for (const Team& earlier : document.teams) {
    if (&earlier == &team) return {};
    if (earlier.token_sha256 != team.token_sha256) continue;
    return {{"token_sha256", "is the digest of team \"" + earlier.name.str() +
                                 "\" too; each team needs a token of its own"}};
  }
  return {};
}

constexpr std::array<ValidationRule<Team>, 3> kRules{
    &RequireUniqueName<Team, &Document::teams>,
    &RequireQueues,
    &RequireUniqueToken,
};

}  // namespace

Section<Team> TeamSection() {
  return {.name = "team",
          .purpose = "A team of callers and its quota.",
          .items = &Document::teams,
          .fields = kFields,
          .rules = kRules};
}

}  // namespace citronferry::document
