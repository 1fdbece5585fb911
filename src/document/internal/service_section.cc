#include <array>

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr std::array<Field<Service>, 6> kFields{{
    {"name", RequiredName<&Service::name>(), "", "Identifies the service."},
    {"pool", RequiredName<&Service::pool>(), "", "Pool whose instances run the service."},
    {"max_unavailable", IntegerType<Service>{&Service::max_unavailable, 0, 1000}, "instances",
     "Availability budget: instances of the pool that may be out at any moment, planned or not."},
    {"reserve", IntegerType<Service>{&Service::reserve, 0, 1000}, "instances",
     "Part of `max_unavailable` that waves leave for unplanned failures."},
    {"min_availability", NumberType<Service>{&Service::min_availability, 0, 0.9999}, "share",
     "Availability budget over `window`: share of instance time that must be available. "
     "0 sets no bound."},
    {"window", DurationType<Service>{&Service::window, 1h, 24h * 366}, "",
     "Time over which `min_availability` is measured."},
}};

std::vector<ValidationError> RequirePool(const Document& document, const Service& service) {
  if (FindByName(document.pools, service.pool)) return {};
  return {{"pool", "names an undeclared pool \"" + service.pool.str() +
                       "\"; declared: " + ListNames(document.pools)}};
}

std::vector<ValidationError> RequireQueue(const Document& document, const Service& service) {
  const bool has_queue =
      std::any_of(document.queues.begin(), document.queues.end(),
                  [&](const Queue& queue) { return queue.service == service.name; });
  if (has_queue) return {};
  return {{"name", "\"" + service.name.str() +
                       "\" has no queue; at least one [[queue]] must name "
                       "it as its service"}};
}

std::vector<ValidationError> RequireReserveInBudget(const Document&, const Service& service) {
  if (service.reserve <= service.max_unavailable) return {};
  return {{"reserve", "is " + std::to_string(service.reserve) +
                          "; it must not exceed max_unavailable, which is " +
                          std::to_string(service.max_unavailable)}};
}

std::vector<ValidationError> RequireBudgetBelowPool(const Document& document,
                                                    const Service& service) {
  const Pool* pool = FindByName(document.pools, service.pool);
  if (!pool || pool->instances.empty()) return {};
  if (service.max_unavailable < static_cast<int>(pool->instances.size())) return {};
  return {{"max_unavailable", "is " + std::to_string(service.max_unavailable) + "; pool \"" +
                                  service.pool.str() + "\" has " +
                                  std::to_string(pool->instances.size()) +
                                  " instances, and at least one must stay available"}};
}

bool IsMaintainedBy(const Wave& wave, const PoolName& pool) {
  return std::find(wave.pools.begin(), wave.pools.end(), pool) != wave.pools.end();
}

/// Rule: a maintenance wave may take max_unavailable - reserve instances out of service at a time,
/// so with a difference below 1 it would never make progress.
std::vector<ValidationError> RequireBudgetForWave(const Document& document,
                                                  const Service& service) {
  if (service.max_unavailable - service.reserve >= 1) return {};
  for (const Wave& wave : document.waves) {
    if (!IsMaintainedBy(wave, service.pool)) continue;
    return {{"max_unavailable", "must exceed reserve by at least 1, since wave \"" + wave.name +
                                    "\" maintains pool \"" + service.pool.str() + "\""}};
  }
  return {};
}

/// Rule: planned maintenance alone must not exceed the unavailability that min_availability allows.
std::vector<ValidationError> RequireAvailabilityAboveWaves(const Document& document,
                                                           const Service& service) {
  if (service.min_availability <= 0) return {};
  double planned_unavailability = 0;
  for (const Wave& wave : document.waves) {
    if (!IsMaintainedBy(wave, service.pool)) continue;
    planned_unavailability += ToSeconds(wave.maintenance_time) / ToSeconds(wave.every);
  }
  if (planned_unavailability <= 1 - service.min_availability) return {};
  return {{"min_availability", "can not be met: the waves over pool \"" + service.pool.str() +
                                   "\" leave " + FormatNumber(1 - planned_unavailability) +
                                   " before any failure; it must be lower"}};
}

constexpr std::array<ValidationRule<Service>, 7> kRules{
    &RequireUniqueName<Service, &Document::services>,
    &RequirePool,
    &RequireQueue,
    &RequireReserveInBudget,
    &RequireBudgetBelowPool,
    &RequireBudgetForWave,
    &RequireAvailabilityAboveWaves,
};

}  // namespace

Section<Service> ServiceSection() {
  return {.name = "service",
          .purpose = "A service and the availability that it may lose.",
          .items = &Document::services,
          .fields = kFields,
          .rules = kRules};
}

}  // namespace citronferry::document
