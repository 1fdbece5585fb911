#include <array>

#include "document/internal/sections.h"
#include "document/rollout.h"

namespace citronferry::document {
namespace {

constexpr std::array<std::string_view, 3> kOrders{"rack_by_rack", "spread",
                                                  "longest_since_maintenance"};

constexpr std::array<Field<Wave>, 9> kFields{{
    {"name", RequiredName<&Wave::name>(), "", "Identifies the wave."},
    {"pools", NamesOf<&Wave::pools>(), "", "Pools whose instances are maintained, in parallel."},
    {"order", ChoiceOf<&Wave::order>(kOrders), "", "Order in which instances are taken out."},
    {"instance_timeout", DurationType<Wave>{&Wave::instance_timeout, 1s, 24h}, "",
     "An instance that is not back after this counts as failed."},
    {"maintenance_time", DurationType<Wave>{&Wave::maintenance_time, 1s, 24h, "`instance_timeout`"},
     "", "Usual time that one instance is out, for estimates."},
    {"start", TimeOfDayType<Wave>{&Wave::start}, "",
     "Start of the daily window in UTC in which instances are taken out."},
    {"end", TimeOfDayType<Wave>{&Wave::end}, "",
     "End of the daily window in UTC. At or before `start` it is on the next day."},
    {"every", DurationType<Wave>{&Wave::every, 24h, 24h * 366}, "",
     "Period in which each instance is maintained once."},
    {"generation", IntegerType<Wave>{&Wave::generation, 1, 1'000'000}, "count",
     "Raising it starts the wave again at once."},
}};

std::vector<ValidationError> RequirePools(const Document& document, const Wave& wave) {
  if (wave.pools.empty()) return {{"pools", "must name at least one pool"}};
  std::vector<ValidationError> errors;
  for (size_t i = 0; i < wave.pools.size(); ++i) {
    const std::string key = "pools[" + std::to_string(i) + "]";
    const PoolName& name = wave.pools[i];
    const auto before = wave.pools.begin() + static_cast<ptrdiff_t>(i);
    if (!FindByName(document.pools, name)) {
      errors.push_back({key, "names an undeclared pool \"" + name.str() +
                                 "\"; declared: " + ListNames(document.pools)});
    } else if (std::find(wave.pools.begin(), before, name) != before) {
      errors.push_back({key, "\"" + name.str() + "\" is listed before; list each pool once"});
    }
  }
  return errors;
}

std::vector<ValidationError> RequireTimeoutAboveMaintenance(const Document&, const Wave& wave) {
  if (wave.instance_timeout >= wave.maintenance_time) return {};
  return {{"instance_timeout", "is " + FormatDuration(wave.instance_timeout) +
                                   "; it must not be shorter than maintenance_time, which is " +
                                   FormatDuration(wave.maintenance_time)}};
}

std::vector<ValidationError> RequireWindowForOneInstance(const Document&, const Wave& wave) {
  const Duration window = DailyWindowLength(wave);
  if (window >= wave.maintenance_time) return {};
  return {{"end", "leaves a window of " + FormatDuration(window) +
                      "; it must be at least the maintenance time, " +
                      FormatDuration(wave.maintenance_time)}};
}

std::vector<ValidationError> RequireRolloutWithinPeriod(const Document& document,
                                                        const Wave& wave) {
  for (const PoolRollout& rollout : EstimateWave(document, wave)) {
    if (rollout.total_duration <= wave.every) continue;
    return {{"every", "is " + FormatDuration(wave.every) + "; pool \"" + rollout.pool.str() +
                          "\" takes at least " + DescribeDuration(rollout.total_duration) +
                          " with " + std::to_string(rollout.max_concurrent) + " of " +
                          std::to_string(rollout.instances) + " instances out at a time"}};
  }
  return {};
}

constexpr std::array<ValidationRule<Wave>, 5> kRules{
    &RequireUniqueName<Wave, &Document::waves>,
    &RequirePools,
    &RequireTimeoutAboveMaintenance,
    &RequireWindowForOneInstance,
    &RequireRolloutWithinPeriod,
};

}  // namespace

Section<Wave> WaveSection() {
  return {.name = "wave",
          .purpose = "Recurring maintenance of the instances of some pools.",
          .items = &Document::waves,
          .fields = kFields,
          .rules = kRules};
}

}  // namespace citronferry::document
