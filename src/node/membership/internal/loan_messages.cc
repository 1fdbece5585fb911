#include "node/membership/internal/loan_messages.h"

#include <algorithm>

namespace citronferry::node {
namespace {

std::vector<peering::InstanceSlots> ToSlots(const membership::SlotCounts& counts) {
  std::vector<peering::InstanceSlots> slots;
  for (const auto& [instance, count] : counts) {
    slots.push_back({.instance = instance, .count = static_cast<uint32_t>(count)});
  }
  return slots;
}

membership::SlotCounts ToCounts(const std::vector<peering::InstanceSlots>& slots) {
  membership::SlotCounts counts;
  for (const peering::InstanceSlots& slot : slots) {
    if (slot.count > 0) counts[slot.instance] += static_cast<int>(slot.count);
  }
  return counts;
}

/// @return for each pool, the longest deadline of its queues.
std::map<PoolName, Duration> LongestDeadlines(const document::Document& document) {
  std::map<ServiceName, PoolName> pools;
  for (const document::Service& service : document.services) pools[service.name] = service.pool;
  std::map<PoolName, Duration> deadlines;
  for (const document::Queue& queue : document.queues) {
    Duration& longest = deadlines[pools[queue.service]];
    longest = std::max(longest, queue.deadline);
  }
  return deadlines;
}

}  // namespace

peering::SlotRequest ToMessage(const membership::LoanRequest& request) {
  return {.number = request.number,
          .pool = request.pool,
          .count = static_cast<uint32_t>(request.count),
          .use = request.use};
}

peering::SlotGrant ToMessage(const membership::LoanGrant& grant) {
  return {.number = grant.number, .slots = ToSlots(grant.slots)};
}

peering::SlotReturn ToMessage(const membership::LoanReturn& returned) {
  return {.number = returned.number, .remaining = ToSlots(returned.remaining)};
}

membership::LoanRequest FromMessage(const peering::SlotRequest& message) {
  const auto max_slots = static_cast<uint32_t>(membership::kMaxLoanSlots);
  return {.number = message.number,
          .pool = message.pool,
          .count = static_cast<int>(std::min(message.count, max_slots)),
          .use = message.use};
}

membership::LoanGrant FromMessage(const peering::SlotGrant& message) {
  return {.number = message.number, .slots = ToCounts(message.slots)};
}

membership::LoanReturn FromMessage(const peering::SlotReturn& message) {
  return {.number = message.number, .remaining = ToCounts(message.remaining)};
}

membership::LoadObserved ObserveLoad(const NodeContext& context) {
  membership::LoadObserved observed;
  const auto& document = context.configuration.Get().document;
  if (!context.read_load || !document) return observed;
  const GatewayLoad load = context.read_load();
  const std::map<InstanceId, PoolName> pools = PoolsInService(context);
  for (const auto& [instance, free] : load.free_slots) {
    membership::InstanceLoad& item = observed.instances[instance];
    item.free = free;
    const auto in_use = load.in_flight.find(instance);
    if (in_use != load.in_flight.end()) item.in_use = in_use->second;
    const auto pool = pools.find(instance);
    if (pool != pools.end()) item.pool = pool->second;
  }
  // A leaving instance receives no new work, so a borrower has no use for its slots.
  for (const provider::InstanceInfo& instance : context.fleet.Get().instances) {
    const auto item = observed.instances.find(instance.id);
    if (item == observed.instances.end()) continue;
    if (instance.state == provider::InstanceState::kLeaving) item->second.pool = PoolName();
  }
  const std::map<PoolName, Duration> deadlines = LongestDeadlines(*document);
  for (const auto& [pool, waiting] : load.waiting) {
    const auto deadline = deadlines.find(pool);
    observed.needs[pool] = {
        .waiting = waiting,
        .deadline = deadline == deadlines.end() ? Duration::zero() : deadline->second};
  }
  return observed;
}

int CountLendableSlots(const membership::LoadObserved& load) {
  int count = 0;
  for (const auto& [instance, item] : load.instances) {
    const auto need = load.needs.find(item.pool);
    const bool waiting = need != load.needs.end() && need->second.waiting > 0;
    if (!item.pool.empty() && !waiting) count += std::max(0, item.free);
  }
  return count;
}

}  // namespace citronferry::node
