#include "node/gateway/internal/policy.h"

#include <algorithm>
#include <map>

#include "decisions/membership/slot_share.h"

namespace citronferry::node {
namespace {

/// The document only names the pool of an instance without a row yet; the planner creates the row.
int OwnSlots(const NodeContext& context, std::span<const EntryId> roster,
             const InstanceId& instance) {
  // A share grows only when every entry must have seen the roster that makes it grow.
  int share = membership::SlotShare(context.settings.id, roster, instance, kExecutorSlots);
  const auto& active_rosters = context.roster.Get().active_rosters;
  if (!active_rosters.empty()) {
    share = std::min(share, membership::SmallestSlotShare(context.settings.id, active_rosters,
                                                          instance, kExecutorSlots));
  }
  const auto& adjustments = context.slot_adjustments.Get().delta;
  const auto adjustment = adjustments.find(instance);
  return adjustment == adjustments.end() ? share : std::max(0, share + adjustment->second);
}

}  // namespace

dispatch::Policy MakeDispatchPolicy(const document::Document& document) {
  dispatch::Policy policy;
  std::map<ServiceName, PoolName> pools;
  for (const document::Service& service : document.services) pools[service.name] = service.pool;
  for (const document::Queue& queue : document.queues) {
    policy.queues[queue.name] = {.pool = pools[queue.service],
                                 .priority = queue.priority,
                                 .idempotent = queue.idempotent,
                                 .declared_run_time = queue.declared_run_time,
                                 .wait_limit = queue.wait_limit,
                                 .max_queued = static_cast<size_t>(queue.max_queued),
                                 .max_attempts = queue.max_attempts};
  }
  for (const document::Pool& pool : document.pools) {
    policy.pools[pool.name] = {.urgent_reserve = pool.urgent_reserve};
  }
  for (const document::Team& team : document.teams) {
    policy.teams[team.name] = {.weight = team.weight,
                               .max_in_flight = static_cast<size_t>(team.max_in_flight),
                               .queues = {team.queues.begin(), team.queues.end()}};
  }
  return policy;
}

std::vector<dispatch::ExecutorState> MakeExecutorStates(const NodeContext& context) {
  std::vector<EntryId> roster;
  for (const RosterEntry& entry : context.roster.Get().entries) roster.push_back(entry.id);
  const std::map<InstanceId, PoolName> pools = PoolsInService(context);
  std::vector<dispatch::ExecutorState> executors;
  for (const provider::InstanceInfo& instance : context.fleet.Get().instances) {
    const auto pool = pools.find(instance.id);
    if (instance.is_entry || pool == pools.end() || pool->second.empty()) continue;
    executors.push_back({.id = instance.id,
                         .pool = pool->second,
                         .slots = OwnSlots(context, roster, instance.id),
                         .leaving = instance.state == provider::InstanceState::kLeaving});
  }
  return executors;
}

}  // namespace citronferry::node
