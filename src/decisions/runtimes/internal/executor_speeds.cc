#include "decisions/runtimes/executor_speeds.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace citronferry::runtimes {
namespace {

// Half of the weight is on the last fourteen runs: about a second of an executor in a surge.
constexpr double kDecay = 0.95;
// An executor that gets no tasks keeps its evidence for about a minute.
constexpr double kFadeSeconds = 60;
// A single run counts at most as three times too long, so that the one task in thirty that takes
// seven times as long does not decide.
const double kMaxLogRatio = std::log(3.0);
// Evidence: at least six runs of three jobs whose mean is beyond a quarter too long by two and a
// half standard errors.
constexpr double kMinRuns = 6;
constexpr int kMinJobs = 3;
const double kSlowLog = std::log(1.25);
constexpr double kStandardErrors = 2.5;
// A slow executor counts as recovered below this.
const double kRecoveredLog = std::log(1.15);
// A slow executor of which fewer runs are left counts as unknown.
constexpr double kMinRunsToStaySlow = 2;
// Run times vary by a third; this is assumed until the executor's own runs show otherwise.
constexpr double kPriorVariance = 0.1;
constexpr double kPriorWeight = 4;
// Runs from which an executor counts for the median of the pool and for its rack.
constexpr double kMinRunsToCompare = 3;
constexpr int kMinRackMembers = 3;
constexpr int kObservationsPerJudgement = 8;
// Bounds the memory; a pool has at most some hundred executors at a time.
constexpr size_t kMaxExecutors = 512;

}  // namespace

double ExecutorSpeeds::Evidence::Variance() const {
  if (weight <= 0) return kPriorVariance;
  const double mean = Mean();
  const double own = std::max(0.0, log_square_sum / weight - mean * mean);
  return (own * weight + kPriorVariance * kPriorWeight) / (weight + kPriorWeight);
}

void ExecutorSpeeds::Evidence::Scale(double factor) {
  log_sum *= factor;
  log_square_sum *= factor;
  weight *= factor;
}

void ExecutorSpeeds::Fade(Evidence& evidence, TimePoint now) const {
  if (now <= evidence.observed_at) return;
  evidence.Scale(std::exp(-ToSeconds(now - evidence.observed_at) / kFadeSeconds));
  evidence.observed_at = now;
}

void ExecutorSpeeds::Observe(std::string_view executor, std::string_view rack, uint64_t job,
                             double log_ratio, TimePoint now) {
  auto found = m_executors.find(executor);
  if (found == m_executors.end()) {
    if (m_executors.size() >= kMaxExecutors) {
      m_executors.erase(std::min_element(m_executors.begin(), m_executors.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.observed_at < b.second.observed_at;
                                         }));
    }
    found = m_executors.emplace(std::string(executor), Evidence{}).first;
    found->second.observed_at = now;
  }
  Evidence& evidence = found->second;
  if (evidence.rack != rack) evidence.rack = rack;
  Fade(evidence, now);
  evidence.Scale(kDecay);
  const double bounded = std::clamp(log_ratio, -kMaxLogRatio, kMaxLogRatio);
  evidence.log_sum += bounded;
  evidence.log_square_sum += bounded * bounded;
  evidence.weight += 1;
  if (std::find(std::begin(evidence.last_jobs), std::end(evidence.last_jobs), job) ==
      std::end(evidence.last_jobs)) {
    evidence.last_jobs[static_cast<size_t>(evidence.jobs) % kKnownJobs] = job;
    ++evidence.jobs;
  }
  if (++m_observations >= kObservationsPerJudgement) Judge(now);
}

void ExecutorSpeeds::Forget(std::string_view executor) {
  const auto found = m_executors.find(executor);
  if (found == m_executors.end()) return;
  if (found->second.slow) --m_slow_executors;
  m_executors.erase(found);
}

double ExecutorSpeeds::Baseline() const {
  std::vector<double> means;
  means.reserve(m_executors.size());
  for (const auto& [id, evidence] : m_executors) {
    if (evidence.weight >= kMinRunsToCompare) means.push_back(evidence.Mean());
  }
  if (means.empty()) return 0;
  // With an even number the lower one: in a pool of two executors the faster one is the measure.
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

void ExecutorSpeeds::Judge(TimePoint now) {
  m_observations = 0;
  for (auto& [id, evidence] : m_executors) Fade(evidence, now);
  m_baseline = Baseline();
  m_slow_executors = 0;
  for (auto& [id, evidence] : m_executors) {
    const double excess = evidence.Mean() - m_baseline;
    if (evidence.slow) {
      evidence.slow = evidence.weight >= kMinRunsToStaySlow && excess >= kRecoveredLog;
    } else {
      const double error = std::sqrt(evidence.Variance() / std::max(evidence.weight, 1.0));
      evidence.slow = evidence.weight >= kMinRuns && evidence.jobs >= kMinJobs &&
                      excess - kStandardErrors * error >= kSlowLog;
    }
    if (evidence.slow) ++m_slow_executors;
  }
  JudgeRacks();
}

void ExecutorSpeeds::JudgeRacks() {
  struct Rack {
    int members = 0;
    int slow = 0;
    double log_sum = 0;
  };
  std::map<std::string_view, Rack> racks;
  for (const auto& [id, evidence] : m_executors) {
    if (evidence.weight < kMinRunsToCompare || evidence.rack.empty()) continue;
    Rack& rack = racks[evidence.rack];
    ++rack.members;
    if (!evidence.slow) continue;
    ++rack.slow;
    rack.log_sum += evidence.Mean() - m_baseline;
  }
  m_slow_racks.clear();
  for (const auto& [name, rack] : racks) {
    if (rack.members >= kMinRackMembers && 2 * rack.slow > rack.members) {
      m_slow_racks.emplace(std::string(name), rack.log_sum / rack.slow);
    }
  }
}

double ExecutorSpeeds::SlownessOf(std::string_view executor, std::string_view rack) const {
  if (!any_slow()) return 1;
  const auto own = m_executors.find(executor);
  if (own != m_executors.end() && own->second.slow) {
    return std::exp(own->second.Mean() - m_baseline);
  }
  const auto found = m_slow_racks.find(rack);
  return found == m_slow_racks.end() ? 1 : std::exp(found->second);
}

std::vector<ExecutorSpeeds::Record> ExecutorSpeeds::records() const {
  std::vector<Record> records;
  for (const auto& [id, evidence] : m_executors) {
    if (evidence.weight < kMinRunsToCompare) continue;
    const double mean = evidence.Mean();
    records.push_back(
        {.executor = id,
         .rack = evidence.rack,
         .log_ratio = mean,
         .variance = std::max(0.0, evidence.log_square_sum / evidence.weight - mean * mean),
         .weight = evidence.weight,
         .jobs = std::min(evidence.jobs, kMinJobs),
         .slow = evidence.slow});
  }
  return records;
}

void ExecutorSpeeds::Restore(const Record& record, TimePoint now) {
  const bool plausible = std::isfinite(record.log_ratio) && std::isfinite(record.variance) &&
                         std::isfinite(record.weight) && record.variance >= 0 &&
                         std::abs(record.log_ratio) <= kMaxLogRatio && record.weight >= 0 &&
                         record.weight <= 1 / (1 - kDecay) + 1;
  if (!plausible || m_executors.contains(record.executor)) return;
  if (m_executors.size() >= kMaxExecutors) return;
  Evidence evidence{
      .rack = record.rack,
      .log_sum = record.log_ratio * record.weight,
      .log_square_sum = (record.variance + record.log_ratio * record.log_ratio) * record.weight,
      .weight = record.weight,
      .jobs = std::clamp(record.jobs, 0, kMinJobs),
      .observed_at = now,
      .slow = record.slow};
  m_executors.emplace(record.executor, evidence);
}

}  // namespace citronferry::runtimes
