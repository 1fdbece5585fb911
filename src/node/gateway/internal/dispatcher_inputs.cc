#include "node/gateway/internal/dispatcher_inputs.h"

#include <algorithm>
#include <map>

#include "decisions/membership/slot_share.h"

namespace citronferry::node {
namespace {

/// @return the slots of an instance that this entry may use: its share, adjusted by slot loans.
int CountUsableSlots(const NodeContext& context, std::span<const EntryId> roster,
                     const InstanceId& instance) {
  // A share may grow only once every entry must have seen the roster that enlarges it. Until then
  // the smallest share over all active rosters applies.
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
  // Instances that have no ownership row yet are left out: the document only names their pool, and
  // the planner creates the row.
  const std::map<InstanceId, PoolName> pools = PoolsInService(context);
  std::vector<dispatch::ExecutorState> executors;
  for (const provider::InstanceInfo& instance : context.fleet.Get().instances) {
    const auto pool = pools.find(instance.id);
    if (instance.is_entry || pool == pools.end() || pool->second.empty()) continue;
    executors.push_back({.id = instance.id,
                         .pool = pool->second,
                         .slots = CountUsableSlots(context, roster, instance.id),
                         .leaving = instance.state == provider::InstanceState::kLeaving});
  }
  return executors;
}

}  // namespace citronferry::node
