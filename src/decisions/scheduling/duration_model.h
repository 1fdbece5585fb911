#ifndef CITRONFERRY_DECISIONS_SCHEDULING_DURATION_MODEL_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_DURATION_MODEL_H_

#include <map>
#include <string>
#include <string_view>

#include "base/time.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// Predicts task durations from those of completed tasks, since the estimates in job definitions
/// are rough.
class DurationModel {
 public:
  /// Adds the duration of a task that succeeded.
  void Learn(const QueueName& queue, const StepSpec& step, Duration actual);
  /// @return the expected duration of a task of this step.
  Duration Predict(const QueueName& queue, const StepSpec& step) const;

 private:
  /// Exponentially decayed sums over completed tasks.
  struct Sums {
    double estimated_s = 0;
    double actual_s = 0;
    double count = 0;
  };

  std::map<std::string, Sums, std::less<>> m_by_image;
  std::map<QueueName, Sums> m_by_queue;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_DURATION_MODEL_H_
