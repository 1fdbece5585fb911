#ifndef CITRONFERRY_FLEET_ENTRY_INTERNAL_ACCESS_CONTROL_H_
#define CITRONFERRY_FLEET_ENTRY_INTERNAL_ACCESS_CONTROL_H_

#include <optional>
#include <variant>

#include "decisions/access/access_policy.h"
#include "decisions/access/key_ring.h"
#include "fleet/fleet_context.h"

namespace citronferry::fleet {

/// Why a call is refused. Without an error it is refused because this entry cannot know whether
/// its configuration is still in force; another entry may.
struct AccessRefusal {
  std::optional<CallError> error;
};

/// Decides which calls of clients are served, from the API keys in the configuration and the time
/// for which this entry has known that configuration to be the newest one.
class AccessControl {
 public:
  explicit AccessControl(FleetContext& context);

  /// @param head of the call, or why the configuration does not allow it.
  /// @param received_at when the whole call had arrived.
  /// @return the team of the caller, which is empty for a public queue and without teams, or the
  ///   refusal.
  std::variant<TeamName, AccessRefusal> Authorize(const std::variant<CallHead, CallError>& head,
                                                  TimePoint received_at) const;

 private:
  /// @return the refusal of a call that the configuration in force does not allow.
  AccessRefusal Deny(CallError error, TimePoint received_at) const;
  void LogRefusal(std::string_view reason, std::string_view api_key, TimePoint received_at) const;
  void ReadKeys(const Configuration& configuration);

  FleetContext& m_context;
  access::AccessPolicy m_policy;
  access::KeyRing m_keys;
  Subscription m_configuration_subscription;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_INTERNAL_ACCESS_CONTROL_H_
