#include "fleet/entry/internal/access_control.h"

#include <utility>
#include <vector>

#include "telemetry/log.h"

namespace citronferry::fleet {

AccessControl::AccessControl(FleetContext& context)
    : m_context(context),
      m_policy({.strict_revocation = context.options.strict_revocation,
                .revocation_bound = context.options.revocation_bound,
                .configuration_bound = context.options.configuration_bound}) {
  ReadKeys(context.configuration.Get());
  m_configuration_subscription = context.configuration.Subscribe(
      [this](const Configuration& configuration) { ReadKeys(configuration); });
}

void AccessControl::ReadKeys(const Configuration& configuration) {
  std::vector<access::TeamKeys> teams;
  for (const Team& team : configuration.teams) {
    teams.push_back({.team = team.name, .keys = team.api_keys});
  }
  m_keys.SetKeys(teams);
}

std::variant<TeamName, AccessRefusal> AccessControl::Authorize(
    const std::variant<CallHead, CallError>& head, TimePoint received_at) const {
  if (const auto* error = std::get_if<CallError>(&head)) return Deny(*error, received_at);
  const auto& call = std::get<CallHead>(head);
  if (call.api_key.empty()) return TeamName();
  const TeamName* team = m_keys.Find(call.api_key);
  if (!team) {
    LogRefusal("unknown_key", call.api_key, received_at);
    return Deny({CallError::Kind::kUnknownKey, "no team has this API key"}, received_at);
  }
  if (m_policy.MayServe(m_context.configuration_confirmed_at, received_at)) return *team;
  LogRefusal("configuration_too_old", call.api_key, received_at);
  return AccessRefusal{};
}

AccessRefusal AccessControl::Deny(CallError error, TimePoint received_at) const {
  // Another configuration may have the queue or the key. A malformed call stays malformed.
  const bool depends_on_configuration =
      error.kind == CallError::Kind::kNoSuchQueue || error.kind == CallError::Kind::kUnknownKey;
  const bool has_teams = !m_context.configuration.Get().teams.empty();
  if (has_teams && depends_on_configuration &&
      !m_policy.MayDeny(m_context.configuration_confirmed_at, received_at)) {
    return {};
  }
  return {.error = std::move(error)};
}

void AccessControl::LogRefusal(std::string_view reason, std::string_view api_key,
                               TimePoint received_at) const {
  m_context.metrics
      .Counter("citronferry_fleet_access_refused_total", "Calls refused for their API key.",
               {{"reason", std::string(reason)}})
      .Increment();
  const auto confirmed_at = m_context.configuration_confirmed_at;
  Log(LogLevel::kInfo, "access_refused",
      {{"reason", reason},
       {"key_sha256", access::Fingerprint(api_key)},
       {"configuration", m_context.configuration.Get().version},
       {"configuration_age_ms", confirmed_at ? ToMilliseconds(received_at - *confirmed_at) : -1}});
}

}  // namespace citronferry::fleet
