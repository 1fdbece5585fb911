#include "decisions/scheduling/duration_model.h"

namespace citronferry::scheduling {
namespace {

runtimes::TaskKind KindOf(const QueueName& queue, const StepSpec& step) {
  return {.queue = queue.view(),
          .image = step.image,
          .cpu_millicores = step.request.cpu_millicores,
          .declared = step.estimated_duration};
}

class LearnedDurations : public DurationModel {
 public:
  runtimes::Prediction Predict(const QueueName& queue, const StepSpec& step) const override {
    // Long-running tasks end when their job is cancelled; nothing is learned from them.
    if (step.long_running) return runtimes::Prediction(step.estimated_duration);
    return run_times().Predict(KindOf(queue, step));
  }
  double SlownessOf(const ExecutorDescription& executor) const override {
    return run_times().executors().SlownessOf(executor.id.view(), executor.rack.view());
  }
  bool any_slow() const override { return run_times().executors().any_slow(); }
  bool knows_stragglers() const override { return true; }
};

class DeclaredDurations : public DurationModel {
 public:
  runtimes::Prediction Predict(const QueueName&, const StepSpec& step) const override {
    return runtimes::Prediction(step.estimated_duration);
  }
  double SlownessOf(const ExecutorDescription&) const override { return 1; }
  bool any_slow() const override { return false; }
  bool knows_stragglers() const override { return false; }
};

}  // namespace

void DurationModel::Learn(const JobDefinition& job, const StepSpec& step,
                          const ExecutorDescription& executor, Duration took, TimePoint now) {
  m_run_times.Learn({.kind = KindOf(job.queue, step),
                     .took = took,
                     .executor = executor.id.view(),
                     .rack = executor.rack.view(),
                     .job = job.id.view()},
                    now);
}

std::unique_ptr<DurationModel> MakeDurationModel(RunTimeUse use) {
  if (use == RunTimeUse::kDeclared) return std::make_unique<DeclaredDurations>();
  return std::make_unique<LearnedDurations>();
}

}  // namespace citronferry::scheduling
