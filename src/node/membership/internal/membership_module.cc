#include "node/membership/membership_module.h"

#include "node/membership/internal/peer_service.h"
#include "node/membership/internal/roster_service.h"

namespace citronferry::node {
namespace {

std::vector<ChildSpec> MakeChildren(NodeContext& context) {
  const auto endpoint = std::make_shared<PeerEndpoint>();
  std::vector<ChildSpec> children;
  // The roster row contains the address of the peer listener, so the listener starts first.
  children.push_back({.name = "peers", .factory = [&context, endpoint] {
                        return std::make_unique<PeerService>(context, endpoint);
                      }});
  children.push_back({.name = "roster", .factory = [&context, endpoint] {
                        return std::make_unique<RosterService>(context, endpoint);
                      }});
  return children;
}

}  // namespace

ChildSpec MembershipModule::MakeChild(NodeContext& context) {
  return {.name = "membership", .factory = [&context] {
            return std::make_unique<Supervisor>(
                context.timers,
                SupervisorOptions{.name = "membership", .strategy = RestartStrategy::kRestForOne},
                MakeChildren(context));
          }};
}

}  // namespace citronferry::node
