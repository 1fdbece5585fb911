#include "document/changes.h"

#include <array>
#include <map>

#include "document/internal/sections.h"
#include "document/rollout.h"

namespace citronferry::document {
namespace {

/// Appends the lines of one part of the description.
using Describer = void (*)(const Document& base, const Document& next,
                           std::vector<std::string>& lines);

template <typename T>
std::string FormatItemName(const Section<T>& section, const T& item) {
  return std::string(section.name) + " " + std::string(ViewOf(item.name));
}

bool IsInstanceList(std::string_view section, std::string_view key) {
  return section == "pool" && key == "instances";
}

template <typename T>
void DescribeItem(const Section<T>& section, const T& before, const T& after,
                  std::vector<std::string>& lines) {
  for (const Field<T>& field : section.fields) {
    // DescribeInstances reports each instance that changes pools.
    if (IsInstanceList(section.name, field.key)) continue;
    const std::string old_value = RenderField(field, before);
    const std::string new_value = RenderField(field, after);
    if (old_value == new_value) continue;
    std::string line = FormatItemName(section, after) + ": " + std::string(field.key);
    line += field.key == "token_sha256" ? " replaced; the old token is refused"
                                        : " " + old_value + " -> " + new_value;
    if (!field.unit.empty()) line += " (" + std::string(field.unit) + ")";
    lines.push_back(std::move(line));
  }
}

template <typename T>
void DescribeSection(const Section<T>& section, const Document& base, const Document& next,
                     std::vector<std::string>& lines) {
  for (const T& before : base.*section.items) {
    if (!FindByName(next.*section.items, before.name)) {
      lines.push_back(FormatItemName(section, before) + ": removed");
    }
  }
  for (const T& after : next.*section.items) {
    const T* before = FindByName(base.*section.items, after.name);
    if (before) {
      DescribeItem(section, *before, after, lines);
    } else {
      lines.push_back(FormatItemName(section, after) + ": added");
    }
  }
}

void DescribeRoot(const Document& base, const Document& next, std::vector<std::string>& lines) {
  for (const Field<Document>& field : DocumentFields()) {
    const std::string old_value = RenderField(field, base);
    const std::string new_value = RenderField(field, next);
    if (old_value == new_value) continue;
    lines.push_back(std::string(field.key) + ": " + old_value + " -> " + new_value);
  }
}

void DescribeSections(const Document& base, const Document& next, std::vector<std::string>& lines) {
  ForEachSection([&](const auto& section) { DescribeSection(section, base, next, lines); });
}

std::map<InstanceId, PoolName> PoolsByInstance(const Document& document) {
  std::map<InstanceId, PoolName> pools;
  for (const Pool& pool : document.pools) {
    for (const InstanceId& instance : pool.instances) pools[instance] = pool.name;
  }
  return pools;
}

void DescribeInstances(const Document& base, const Document& next,
                       std::vector<std::string>& lines) {
  const auto before = PoolsByInstance(base);
  const auto after = PoolsByInstance(next);
  for (const auto& [instance, pool] : before) {
    const auto found = after.find(instance);
    if (found == after.end()) {
      lines.push_back("instance " + instance.str() + ": leaves pool " + pool.str());
    } else if (found->second != pool) {
      lines.push_back("instance " + instance.str() + ": moves from pool " + pool.str() +
                      " to pool " + found->second.str());
    }
  }
  for (const auto& [instance, pool] : after) {
    if (before.contains(instance)) continue;
    lines.push_back("instance " + instance.str() + ": joins pool " + pool.str());
  }
}

void DescribeBudgets(const Document& base, const Document& next, std::vector<std::string>& lines) {
  for (const Pool& pool : next.pools) {
    if (!FindByName(base.pools, pool.name)) continue;
    const int before = AllowedDisruptions(base, pool.name);
    const int after = AllowedDisruptions(next, pool.name);
    if (before == after) continue;
    lines.push_back("effect: waves may take out " + std::to_string(after) + " instead of " +
                    std::to_string(before) + " instances of pool " + pool.name.str() +
                    " at a time");
  }
}

std::string DescribeRollout(const PoolRollout& rollout) {
  std::string text = rollout.pool.str() + " " + std::to_string(rollout.instances) + " instances, " +
                     std::to_string(rollout.max_concurrent) + " at a time, " +
                     DescribeDuration(rollout.maintenance_duration);
  if (rollout.total_duration != rollout.maintenance_duration) {
    text += " of work over " + DescribeDuration(rollout.total_duration);
  }
  return text;
}

/// @return the lower bound on the duration of a wave and of each of its pools, as text.
std::string DescribeWave(const Document& document, const Wave& wave) {
  Duration longest{};
  std::string pools;
  for (const PoolRollout& rollout : EstimateWave(document, wave)) {
    longest = std::max(longest, rollout.total_duration);
    pools += (pools.empty() ? "" : "; ") + DescribeRollout(rollout);
  }
  if (pools.empty()) return "has no instance to maintain";
  return "takes at least " + DescribeDuration(longest) + " (" + pools + ")";
}

void DescribeRollouts(const Document& base, const Document& next, std::vector<std::string>& lines) {
  for (const Wave& wave : next.waves) {
    const Wave* before = FindByName(base.waves, wave.name);
    const std::string old_estimate = before ? DescribeWave(base, *before) : "";
    const std::string new_estimate = DescribeWave(next, wave);
    if (new_estimate == old_estimate) continue;
    lines.push_back("effect: wave " + wave.name + " " + new_estimate);
  }
}

constexpr std::array<Describer, 5> kDescribers{&DescribeRoot, &DescribeSections, &DescribeInstances,
                                               &DescribeBudgets, &DescribeRollouts};

}  // namespace

std::vector<std::string> DescribeChanges(const Document& base, const Document& next) {
  std::vector<std::string> lines;
  for (const Describer describe : kDescribers) describe(base, next, lines);
  return lines;
}

}  // namespace citronferry::document
