#ifndef CITRONFERRY_DECISIONS_SCHEDULING_PLACEMENT_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_PLACEMENT_H_

#include <limits>
#include <optional>
#include <span>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "decisions/scheduling/executor_state.h"
#include "decisions/scheduling/job.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// An executor on which tasks may be placed, with its remaining capacity during one planning round.
struct Candidate {
  ExecutorState* executor = nullptr;
  Resources free;
  Resources free_when_drained;  ///< Once all tasks that are not long-running have ended.
  int long_running_tasks = 0;
  bool reserved = false;  ///< Kept for a long-running task that does not fit yet.
  /// Starts that may be ordered in this round.
  int starts_left = std::numeric_limits<int>::max();
  double slowness = 1;  ///< Factor by which the executor is slower than the pool.
};

/// Placement constraints of a step.
struct StepPlacement {
  const StepSpec& spec;
  const Step& step;
  TimePoint ready_since{};
  /// If set, only executors with a valid ticket may be used.
  const StepTickets* tickets = nullptr;
  bool decides_end = false;  ///< The end of the job depends on this step.
};

/// @return the resources that a task of a step is charged with.
Resources CountedRequest(const StepSpec& spec);

/// @return whether an executor has the label that a step requires.
bool HasRequiredLabel(const ExecutorDescription& executor, const StepSpec& spec);

/// Chooses executors for tasks during one planning round.
class Placer {
 public:
  /// @param candidates their remaining capacity is updated with each placement; must outlive the
  ///   placer.
  Placer(std::vector<Candidate>& candidates, TimePoint now)
      : m_candidates(candidates), m_now(now) {}

  /// Chooses an executor for one task and allocates the capacity.
  /// @param placement the constraints of the task's step.
  /// @param avoided executor to use only if there is no other, not even a slow one.
  /// @return nullptr if the task does not fit on any executor.
  ExecutorState* Place(const StepPlacement& placement, const ExecutorId& avoided);
  /// Chooses executors for all tasks of a gang-scheduled step, or for none.
  /// @return one executor for each task, or nothing.
  std::optional<std::vector<ExecutorState*>> PlaceGang(const StepPlacement& placement);
  /// @return whether an executor has room for one more task of a step, whatever else keeps the task
  ///   from it: racks, tickets, or other tasks of the step. Once there is none, there is none for
  ///   the rest of the round.
  bool HasRoom(const StepSpec& spec) const;
  /// Allocates the capacity for a long-running task on an executor where it will fit once the other
  /// tasks have ended.
  /// @return nullptr if there is none.
  const ExecutorState* TakeWhenDrained(const StepPlacement& placement);
  /// Reserves an executor on which a long-running task will fit once the other tasks have ended, so
  /// that smaller tasks do not take the capacity that becomes free: the one with the most free CPU.
  /// At most half of the executors are reserved, or one, so that other tasks can still be placed;
  /// beyond that, long-running tasks share reserved executors.
  void Reserve(const StepPlacement& placement);

 private:
  /// @return whether a candidate is used only if there is no other: it is slow, and the task
  /// decides
  ///   the end of its job or the executor has its share of other tasks, which is inversely
  ///   proportional to its slowness.
  static bool IsLastResort(const Candidate& candidate, const StepPlacement& placement);
  /// @return whether a task of the step fits on the executor in this round.
  static bool HasRoomFor(const Candidate& candidate, const StepSpec& spec,
                         const Resources& request);
  /// @return whether a task of the step may run on the executor, whatever room it has.
  static bool Permits(const Candidate& candidate, const StepPlacement& placement);
  /// @return whether it may be started there now; the ticket for that may have to be renewed.
  bool Allows(const Candidate& candidate, const StepPlacement& placement) const;
  /// @return the rack to which the tasks are restricted for now, or empty.
  RackName RequiredRack(const StepPlacement& placement) const;
  /// @return the sort key of executors for a long-running task; the lowest is preferred.
  static std::tuple<int, int, int64_t> LongRunningOrder(const Candidate& candidate,
                                                        const Step& step);
  /// @return the number of runs of a step on an executor.
  static int CountOnExecutor(const Step& step, const ExecutorId& executor);

  std::vector<Candidate>& m_candidates;
  TimePoint m_now;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_PLACEMENT_H_
