#ifndef CITRONFERRY_DECISIONS_ACCESS_ACCESS_POLICY_H_
#define CITRONFERRY_DECISIONS_ACCESS_ACCESS_POLICY_H_

#include <optional>

#include "base/time.h"

namespace citronferry::access {

/// Bounds within which changes of API keys and queues take effect.
struct AccessBounds {
  /// A revoked key must not be served later than revocation_bound, even by an entry that cannot
  /// reach the store.
  bool strict_revocation = false;
  Duration revocation_bound{};
  /// An entry that reaches the store acts on a new configuration within this time.
  Duration configuration_bound{};
};

/// Decides how far an entry may rely on the configuration it has.
///
/// Load pattern: a third of the entries cannot reach the store for some seconds while API keys are
/// revoked. An entry that has not heard from the store does not know whether its configuration is
/// still the newest one. A call that arrives was sent before that moment, so it is the age of this
/// knowledge at the arrival that bounds how long after a revocation the call was sent.
class AccessPolicy {
 public:
  explicit AccessPolicy(AccessBounds bounds) : m_bounds(bounds) {}

  /// @param confirmed_at when the request was sent that last showed the configuration to be the
  ///   newest one; empty before the first.
  /// @param received_at when the whole call had arrived.
  /// @return whether a call with a known key may be served.
  bool MayServe(std::optional<TimePoint> confirmed_at, TimePoint received_at) const;
  /// @return whether a key or queue that the configuration does not contain may be reported as
  ///   unknown; otherwise a newer configuration may contain it.
  bool MayDeny(std::optional<TimePoint> confirmed_at, TimePoint received_at) const;

 private:
  AccessBounds m_bounds;
};

}  // namespace citronferry::access

#endif  // CITRONFERRY_DECISIONS_ACCESS_ACCESS_POLICY_H_
