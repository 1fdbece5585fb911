#ifndef CITRONFERRY_DECISIONS_RUNTIMES_EXECUTOR_SPEEDS_H_
#define CITRONFERRY_DECISIONS_RUNTIMES_EXECUTOR_SPEEDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace citronferry::runtimes {

/// Compares the run times of each executor with those expected for the same tasks in its pool.
///
/// Load pattern: a few executors, or a whole rack, take several times as long as the others, and a
/// few tasks in a hundred take seven times as long on any executor. An executor is slow only when
/// its runs of several jobs show it clearly, relative to the median of the pool's executors.
class ExecutorSpeeds {
 public:
  /// Evidence on an executor, to store it and to restore it.
  struct Record {
    std::string executor;
    std::string rack;
    double log_ratio = 0;  ///< Mean logarithm of actual to expected time.
    double variance = 0;   ///< Variance of these logarithms.
    double weight = 0;     ///< Decayed number of runs.
    int jobs = 0;          ///< Number of different jobs of these runs, up to a limit.
    bool slow = false;
  };

  /// Records a run that succeeded.
  /// @param job a hash of the id of its job.
  /// @param log_ratio logarithm of the actual time divided by the expected one.
  void Observe(std::string_view executor, std::string_view rack, uint64_t job, double log_ratio,
               TimePoint now);
  /// Forgets an executor, which has been restarted or replaced.
  void Forget(std::string_view executor);

  /// @return the factor by which an executor is slower than its pool, if it or its rack is slow,
  ///   otherwise 1.
  double SlownessOf(std::string_view executor, std::string_view rack) const;
  /// @return whether any executor is slow.
  bool any_slow() const { return m_slow_executors > 0 || !m_slow_racks.empty(); }
  size_t slow_executors() const { return m_slow_executors; }
  size_t slow_racks() const { return m_slow_racks.size(); }
  /// Decides again which executors and racks are slow. Evidence fades with time, so that an
  /// executor that has recovered is used again.
  void Judge(TimePoint now);

  std::vector<Record> records() const;
  /// Adds the evidence of a previous owner on an executor that has none yet.
  void Restore(const Record& record, TimePoint now);

 private:
  static constexpr size_t kKnownJobs = 4;

  struct Evidence {
    std::string rack;
    double log_sum = 0;
    double log_square_sum = 0;
    double weight = 0;
    uint64_t last_jobs[kKnownJobs] = {};
    int jobs = 0;
    TimePoint observed_at{};
    bool slow = false;

    double Mean() const { return weight > 0 ? log_sum / weight : 0; }
    double Variance() const;
    void Scale(double factor);
  };

  void Fade(Evidence& evidence, TimePoint now) const;
  /// @return the median of the mean logarithms of the executors with enough runs.
  double Baseline() const;
  void JudgeRacks();

  std::map<std::string, Evidence, std::less<>> m_executors;
  std::map<std::string, double, std::less<>> m_slow_racks;  // With the mean logarithm of the ratio.
  double m_baseline = 0;
  size_t m_slow_executors = 0;
  int m_observations = 0;  // Since the last judgement.
};

}  // namespace citronferry::runtimes

#endif  // CITRONFERRY_DECISIONS_RUNTIMES_EXECUTOR_SPEEDS_H_
