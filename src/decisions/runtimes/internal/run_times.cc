#include "decisions/runtimes/run_times.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>

namespace citronferry::runtimes {
namespace {

// With fewer runs the distribution of a less specific kind is more accurate.
constexpr double kMinImageRuns = 2.5;
constexpr double kMinSizeRuns = 6;
constexpr double kMinQueueRuns = 0.5;
// Declared times without any experience are taken to be off by a factor of two.
constexpr double kPriorVariance = 0.48;
constexpr double kPriorWeight = 2;
// Below this variance of the logarithm, differences are those of the histogram's bins.
constexpr double kMinVariance = 0.0025;
// The ratio to the declared time is used where it varies clearly less than the time itself.
constexpr double kNarrowerFactor = 0.7;
// Shorter times are those of a report that arrived at once.
constexpr double kMinSeconds = 1e-3;
// Limits of a correction of the declared time, so that one absurd declaration has no effect on
// other tasks.
constexpr double kMaxRatio = 100;

// Each doubling of the cores is a class.
int SizeClass(int64_t cpu_millicores) {
  return static_cast<int>(
      std::bit_width(static_cast<uint64_t>(std::max<int64_t>(cpu_millicores, 0))));
}

// Variance of the logarithm of the values, with a prior for few values.
double VarianceOf(const Distribution& distribution) {
  const double weight = distribution.weight();
  const double variance = (distribution.LogVariance() * weight + kPriorVariance * kPriorWeight) /
                          (weight + kPriorWeight);
  return std::max(variance, kMinVariance);
}

bool IsNarrower(const Distribution& ratios, const Distribution& times) {
  return VarianceOf(ratios) < kNarrowerFactor * VarianceOf(times);
}

}  // namespace

const RunTimes::Entry* RunTimes::Find(const KeyView& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second;
}

RunTimes::Entry& RunTimes::EntryOf(const KeyView& key) {
  auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    if (m_entries.size() >= kMaxKeys) {
      m_entries.erase(std::min_element(
          m_entries.begin(), m_entries.end(),
          [](const auto& a, const auto& b) { return a.second.used < b.second.used; }));
    }
    found = m_entries
                .emplace(Key{.queue = std::string(key.queue),
                             .image = std::string(key.image),
                             .size = key.size},
                         Entry{})
                .first;
  }
  found->second.used = m_learned_runs;
  return found->second;
}

void RunTimes::Learn(const FinishedRun& run, TimePoint now) {
  const TaskKind& kind = run.kind;
  if (kind.queue.size() > kMaxNameLength || run.took <= Duration::zero()) return;
  ++m_learned_runs;
  const Prediction expected = Predict(kind);
  double seconds = std::max(ToSeconds(run.took), kMinSeconds);
  // Runs are compared with learned times only: declared ones would make every executor seem slow.
  if (expected.samples() >= kMinImageRuns) {
    m_executors.Observe(run.executor, run.rack, std::hash<std::string_view>()(run.job),
                        std::log(seconds) - expected.LogMean(), now);
  }
  seconds /= m_executors.SlownessOf(run.executor, run.rack);
  const double declared = ToSeconds(kind.declared);
  const double ratio = declared > 0 ? std::clamp(seconds / declared, 1 / kMaxRatio, kMaxRatio) : 0;
  const auto learn = [&](const KeyView& key) {
    Entry& entry = EntryOf(key);
    entry.times.Add(seconds);
    if (ratio > 0) entry.ratios.Add(ratio);
  };
  learn({.queue = kind.queue});
  learn({.queue = kind.queue, .size = SizeClass(kind.cpu_millicores)});
  if (!kind.image.empty() && kind.image.size() <= kMaxNameLength) {
    learn({.queue = kind.queue, .image = kind.image});
  }
}

Prediction RunTimes::Predict(const TaskKind& kind) const {
  const double declared = ToSeconds(kind.declared);
  const Entry* queue = Find({.queue = kind.queue});
  const Entry* learned =
      kind.image.empty() ? nullptr : Find({.queue = kind.queue, .image = kind.image});
  if (!learned || learned->times.weight() < kMinImageRuns) {
    learned = Find({.queue = kind.queue, .size = SizeClass(kind.cpu_millicores)});
    if (learned && learned->times.weight() < kMinSizeRuns) learned = nullptr;
  }
  const bool use_queue = queue && queue->ratios.weight() >= kMinQueueRuns && declared > 0;
  if (!learned) {
    if (use_queue) {
      const double variance = VarianceOf(queue->ratios);
      return {&queue->ratios, declared, std::sqrt(variance / (queue->ratios.weight() + 1))};
    }
    if (declared > 0) return {nullptr, declared, std::sqrt(kPriorVariance)};
    return Prediction(kind.declared);
  }
  const Distribution& times = learned->times;
  if (declared > 0 && learned->ratios.weight() >= kMinImageRuns &&
      IsNarrower(learned->ratios, times)) {
    return {&learned->ratios, declared,
            std::sqrt(VarianceOf(learned->ratios) / learned->ratios.weight())};
  }
  // The two estimates of the mean logarithm are weighted by their inverse variances.
  const double learned_weight = times.weight() / VarianceOf(times);
  if (!use_queue) return {&times, 1, std::sqrt(1 / learned_weight)};
  const double declared_weight = 1 / VarianceOf(queue->ratios);
  const double shift = (std::log(declared) + queue->ratios.LogMean() - times.LogMean()) *
                       declared_weight / (learned_weight + declared_weight);
  return {&times, std::exp(shift), std::sqrt(1 / (learned_weight + declared_weight))};
}

RunTimes::State RunTimes::state() const {
  std::vector<std::pair<int64_t, Record>> by_use;
  for (const auto& [key, entry] : m_entries) {
    by_use.emplace_back(entry.used, Record{.queue = key.queue,
                                           .image = key.image,
                                           .size = key.size,
                                           .times = entry.times,
                                           .ratios = entry.ratios});
  }
  std::stable_sort(by_use.begin(), by_use.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  State state{.records = {}, .executors = m_executors.records()};
  for (auto& [used, record] : by_use) state.records.push_back(std::move(record));
  return state;
}

void RunTimes::Merge(const State& state, TimePoint now) {
  // The most recently used last, so that it is kept if there are too many.
  for (auto record = state.records.rbegin(); record != state.records.rend(); ++record) {
    if (record->queue.size() > kMaxNameLength || record->image.size() > kMaxNameLength) continue;
    ++m_learned_runs;
    Entry& entry = EntryOf({.queue = record->queue, .image = record->image, .size = record->size});
    entry.times.Merge(record->times);
    entry.ratios.Merge(record->ratios);
  }
  for (const ExecutorSpeeds::Record& record : state.executors) m_executors.Restore(record, now);
  m_executors.Judge(now);
}

}  // namespace citronferry::runtimes
