#include <array>
#include <cmath>

#include "document/internal/sections.h"
#include "document/rollout.h"

namespace citronferry::document {
namespace {

/// Requests that the executor of an instance runs at a time.
constexpr int kSlotsPerInstance = 8;

constexpr std::array<Field<Pool>, 8> kFields{{
    {"name", RequiredName<&Pool::name>(), "", "Identifies the pool."},
    {"spare", BoolType<Pool>{&Pool::spare}, "",
     "Whether the pool lends instances to pools with sustained demand. At most one pool may."},
    {"instances", NamesOf<&Pool::instances>(), "",
     "Instances that belong to the pool. An instance belongs to one pool."},
    {"min_instances", IntegerType<Pool>{&Pool::min_instances, 0, 10000}, "instances",
     "Moves never take the pool below this."},
    {"urgent_reserve", NumberType<Pool>{&Pool::urgent_reserve, 0, 0.9}, "share",
     "Share of the slots kept free for urgent work."},
    {"target_utilisation", NumberType<Pool>{&Pool::target_utilisation, 0.1, 1.0}, "share",
     "Utilisation that the planner aims for under the mean load."},
    {"processors", IntegerType<Pool>{&Pool::processors, 0, 4096}, "processors",
     "Processors of each instance. 0 means not declared."},
    {"memory", SizeType<Pool>{&Pool::memory}, "", "Memory of each instance. 0 means not declared."},
}};

/// Rule: each instance belongs to exactly one pool.
std::vector<ValidationError> RequireExclusiveInstances(const Document& document, const Pool& pool) {
  std::vector<ValidationError> errors;
  for (size_t i = 0; i < pool.instances.size(); ++i) {
    const InstanceId& instance = pool.instances[i];
    const auto before = pool.instances.begin() + static_cast<ptrdiff_t>(i);
    const Pool* owner =
        std::find(pool.instances.begin(), before, instance) != before ? &pool : nullptr;
    for (const Pool& earlier : document.pools) {
      if (owner || &earlier == &pool) break;
      const auto& others = earlier.instances;
      if (std::find(others.begin(), others.end(), instance) != others.end()) owner = &earlier;
    }
    if (!owner) continue;
    errors.push_back({"instances[" + std::to_string(i) + "]",
                      "\"" + instance.str() + "\" is already in pool \"" + owner->name.str() +
                          "\"; an instance belongs to exactly one pool"});
  }
  return errors;
}

std::vector<ValidationError> RequireEnoughInstances(const Document&, const Pool& pool) {
  if (pool.min_instances <= static_cast<int>(pool.instances.size())) return {};
  return {{"min_instances", "is " + std::to_string(pool.min_instances) +
                                "; it must not exceed the number of instances, which is " +
                                std::to_string(pool.instances.size())}};
}

std::vector<ValidationError> RequireOneSparePool(const Document& document, const Pool& pool) {
  if (!pool.spare) return {};
  for (const Pool& earlier : document.pools) {
    if (&earlier == &pool) return {};
    if (!earlier.spare) continue;
    return {{"spare", "pool \"" + earlier.name.str() +
                          "\" is the spare pool already; at most one is allowed"}};
  }
  return {};
}

std::vector<const Queue*> QueuesOf(const Document& document, const Pool& pool) {
  std::vector<const Queue*> queues;
  for (const Queue& queue : document.queues) {
    const Service* service = FindByName(document.services, queue.service);
    if (service && service->pool == pool.name) queues.push_back(&queue);
  }
  return queues;
}

int MaxUnavailable(const Document& document, const Pool& pool) {
  int unavailable = 0;
  for (const Service& service : document.services) {
    if (service.pool == pool.name) unavailable = std::max(unavailable, service.max_unavailable);
  }
  return unavailable;
}

/// @return the number of instances that stay available while max_unavailable are out of service.
int GuaranteedInstances(const Document& document, const Pool& pool) {
  return static_cast<int>(pool.instances.size()) - MaxUnavailable(document, pool);
}

std::vector<ValidationError> RequireSlotsForNonUrgentWork(const Document& document,
                                                          const Pool& pool) {
  const auto queues = QueuesOf(document, pool);
  const bool non_urgent_work = std::any_of(queues.begin(), queues.end(), [](const Queue* queue) {
    return queue->priority != Priority::kUrgent;
  });
  const int slots = GuaranteedInstances(document, pool) * kSlotsPerInstance;
  if (!non_urgent_work || slots <= 0) return {};
  const double reserved = std::ceil(pool.urgent_reserve * slots);
  if (slots - reserved >= 1) return {};
  return {{"urgent_reserve", "reserves all " + std::to_string(slots) +
                                 " slots that stay available; it must leave at least one for the "
                                 "other queues of the pool"}};
}

/// Computes the instances needed to drain the backlog of the worst surge within the wait limit of
/// its queue, and to carry the mean load at the target utilisation (docs/design.md, section 4.7).
double RequiredInstances(std::span<const Queue* const> queues, double target_utilisation) {
  double mean = 0;
  for (const Queue* queue : queues) mean += queue->mean_load;
  double required = mean / target_utilisation;
  for (const Queue* queue : queues) {
    const double length = ToSeconds(queue->surge_length);
    const double surge =
        queue->surge_factor * queue->mean_load * length / (length + ToSeconds(queue->wait_limit));
    required = std::max(required, mean - queue->mean_load + surge);
  }
  return required;
}

std::vector<ValidationError> RequireCapacity(const Document& document, const Pool& pool) {
  const int guaranteed = GuaranteedInstances(document, pool);
  const double required = RequiredInstances(QueuesOf(document, pool), pool.target_utilisation);
  if (guaranteed <= 0 || required <= guaranteed) return {};
  return {{"instances", "leave " + std::to_string(guaranteed) +
                            " available while the budget is spent; the declared load needs " +
                            FormatNumber(std::ceil(required))}};
}

constexpr std::array<ValidationRule<Pool>, 6> kRules{
    &RequireUniqueName<Pool, &Document::pools>,
    &RequireExclusiveInstances,
    &RequireEnoughInstances,
    &RequireOneSparePool,
    &RequireSlotsForNonUrgentWork,
    &RequireCapacity,
};

}  // namespace

Section<Pool> PoolSection() {
  return {.name = "pool",
          .purpose = "A pool of instances with the same size.",
          .items = &Document::pools,
          .fields = kFields,
          .rules = kRules};
}

}  // namespace citronferry::document
