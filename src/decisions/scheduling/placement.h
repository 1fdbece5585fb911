#ifndef CITRONFERRY_DECISIONS_SCHEDULING_PLACEMENT_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_PLACEMENT_H_

#include <optional>
#include <span>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/executor_state.h"
#include "decisions/scheduling/job.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// An executor that may take tasks, with what is left of it during one round of placing.
struct Candidate {
  ExecutorState* executor = nullptr;
  Resources free;
  int long_running_tasks = 0;
  bool reserved = false;  ///< Kept for a task that lasts and does not fit yet.
};

/// What of a step restricts its tasks to some executors.
struct StepPlacement {
  const StepSpec& spec;
  const Step& step;
  TimePoint ready_since{};
  bool needs_ticket = false;  ///< Only executors with a ticket of the adviser may be used.
};

/// Chooses executors for tasks.
class Placer {
 public:
  Placer(std::vector<Candidate>& candidates, TimePoint now)
      : m_candidates(candidates), m_now(now) {}

  /// Chooses an executor for one task and takes its capacity.
  /// @param avoided executor that is used only if there is no other.
  /// @return nullptr if none fits now.
  ExecutorState* Place(const StepPlacement& placement, const ExecutorId& avoided);
  /// Chooses executors for all tasks of a gang, or for none.
  /// @return one executor for each task, or nothing.
  std::optional<std::vector<ExecutorState*>> PlaceGang(const StepPlacement& placement);
  /// Keeps the executor that is nearest to having room for a task, so that smaller tasks do not
  /// take what becomes free.
  void Reserve(const StepPlacement& placement);

 private:
  bool Allows(const Candidate& candidate, const StepPlacement& placement) const;
  /// @return the rack to which the tasks are kept for now, or empty.
  RackName RequiredRack(const StepPlacement& placement) const;
  static std::tuple<int, int, int64_t> LongRunningOrder(const Candidate& candidate,
                                                        const Step& step);
  static int CountOnExecutor(const Step& step, const ExecutorId& executor);

  std::vector<Candidate>& m_candidates;
  TimePoint m_now;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_PLACEMENT_H_
