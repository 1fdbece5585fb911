#ifndef CITRONFERRY_DECISIONS_SCHEDULING_DURATION_MODEL_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_DURATION_MODEL_H_

#include <memory>

#include "base/time.h"
#include "decisions/runtimes/run_times.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Which run times decisions are based on.
enum class RunTimeUse {
  kLearned,   ///< Those of completed tasks.
  kDeclared,  ///< Those in the job definitions; used for comparisons.
};

/// Predicts the run times of the tasks of a pool, and tells which executors are slow. Every model
/// learns from completed tasks; strategies differ in what they use.
class DurationModel {
 public:
  virtual ~DurationModel() = default;

  /// Learns from a task that succeeded.
  /// @param took from its start to its end.
  virtual void Learn(const JobDefinition& job, const StepSpec& step,
                     const ExecutorDescription& executor, Duration took, TimePoint now);
  /// @return the run time of a task of this step; valid until the next call of Learn.
  virtual runtimes::Prediction Predict(const QueueName& queue, const StepSpec& step) const = 0;
  /// @return the factor by which an executor is slower than the pool, or 1 if it is not slow.
  virtual double SlownessOf(const ExecutorDescription& executor) const = 0;
  /// @return whether an executor is slow.
  virtual bool any_slow() const = 0;
  /// @return whether the run times are known well enough to tell a straggler.
  virtual bool knows_stragglers() const = 0;

  runtimes::RunTimes& run_times() { return m_run_times; }
  const runtimes::RunTimes& run_times() const { return m_run_times; }

 private:
  runtimes::RunTimes m_run_times;
};

/// @return the strategy for a use of run times.
std::unique_ptr<DurationModel> MakeDurationModel(RunTimeUse use);

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_DURATION_MODEL_H_
