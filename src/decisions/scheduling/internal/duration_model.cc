#include "decisions/scheduling/duration_model.h"

namespace citronferry::scheduling {
namespace {

// Half of the weight is on the last fifty tasks, so that the model follows a change within seconds.
constexpr double kDecay = 0.986;
// With fewer samples, the job's estimate, corrected by the ratio of its queue, is more accurate.
constexpr double kMinImageSamples = 3;

void Add(double estimated_s, double actual_s, double& estimated_sum, double& actual_sum,
         double& count) {
  estimated_sum = estimated_sum * kDecay + estimated_s;
  actual_sum = actual_sum * kDecay + actual_s;
  count = count * kDecay + 1;
}

}  // namespace

void DurationModel::Learn(const QueueName& queue, const StepSpec& step, Duration actual) {
  const double estimated_s = ToSeconds(step.estimated_duration);
  const double actual_s = ToSeconds(actual);
  Sums& by_queue = m_by_queue[queue];
  Add(estimated_s, actual_s, by_queue.estimated_s, by_queue.actual_s, by_queue.count);
  if (step.image.empty()) return;
  Sums& by_image = m_by_image[step.image];
  Add(estimated_s, actual_s, by_image.estimated_s, by_image.actual_s, by_image.count);
}

Duration DurationModel::Predict(const QueueName& queue, const StepSpec& step) const {
  if (const auto image = m_by_image.find(step.image);
      image != m_by_image.end() && image->second.count >= kMinImageSamples) {
    return FromSeconds(image->second.actual_s / image->second.count);
  }
  const auto found = m_by_queue.find(queue);
  if (found == m_by_queue.end() || found->second.estimated_s <= 0) return step.estimated_duration;
  const double ratio = found->second.actual_s / found->second.estimated_s;
  return FromSeconds(ToSeconds(step.estimated_duration) * ratio);
}

}  // namespace citronferry::scheduling
